#pragma once

// The public header of the version library: what lives for one configuration revision.

#include "version/config.h"
