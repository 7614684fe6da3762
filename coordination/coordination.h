#pragma once

// The public header of the coordination library.

#include "coordination/claim.h"
#include "coordination/crashevidence.h"
#include "coordination/directory.h"
#include "coordination/directoryrelay.h"
#include "coordination/inprogress.h"
#include "coordination/lease.h"
#include "coordination/loadtable.h"
#include "coordination/log.h"
#include "coordination/member.h"
#include "coordination/order.h"
#include "coordination/outbox.h"
#include "coordination/peerframe.h"
#include "coordination/quarantine.h"
#include "coordination/rateshare.h"
#include "coordination/relay.h"
#include "coordination/store.h"
#include "coordination/tree.h"
#include "coordination/upstreamhealth.h"
#include "coordination/upstreamlimits.h"
#include "coordination/watchelection.h"
