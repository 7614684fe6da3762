#pragma once

// The public header of the coordination library.

#include "coordination/log.h"
#include "coordination/peerframe.h"
#include "coordination/store.h"
