#pragma once

// The public header of the process library: the settings file and the daemons that it configures.
//
//   auto settings = loadSettings("entry-1.ini");
//   if (!settings)
//       fail(settings.error().message);
//   Daemon daemon(base, settings.value(), HintSigner::create(...).value());
//   daemon.start();

#include "process/daemon.h"
#include "process/directorysource.h"
#include "process/forwarddaemon.h"
#include "process/forwarder.h"
#include "process/settings.h"
