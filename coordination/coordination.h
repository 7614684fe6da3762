#pragma once

// The public header of the coordination library.

#include "coordination/claim.h"
#include "coordination/lease.h"
#include "coordination/log.h"
#include "coordination/order.h"
#include "coordination/peerframe.h"
#include "coordination/store.h"
