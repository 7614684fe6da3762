#pragma once

// The public header of the version library: the configuration at one revision, the operators' command
// language, the records that carry changes, and SHOW.
//
//   auto commands = parseCommands("DRAIN UPSTREAM e1 IF REVISION 41");
//   auto next = applyCommands(config, commands.value());
//   auto table = showTable(std::get<ShowCommand>(parseCommand("SHOW UPSTREAMS").value().statement), config,
//   {});

#include "version/apply.h"
#include "version/command.h"
#include "version/config.h"
#include "version/drainplan.h"
#include "version/record.h"
#include "version/routing.h"
#include "version/show.h"
