#pragma once

// The public header of the request library: decisions about one request, without sockets and with the time
// as an argument.
//
// Placing a request of a chat:
//
//   HintCheck hint = signer.verify(headerText, organisation, chat, wallNow);
//   PlacementRequest request;
//   request.chat = chatKey(organisation, chat);
//   request.tokens = promptTokens + maxTokens;
//   request.returning = bodyHasEarlierTurns;
//   request.outputTokens = maxTokens;
//   request.typicalOutputTokens = ledger.typicalOutputTokens();
//   if (hint.verdict == HintVerdict::Valid && hint.issued is not before that upstream last lost its cache)
//       request.hint = hint.upstream;
//   if (request.returning && there is no hint, or its upstream does not serve)
//       request.directory = directory.find(request.chat, now);
//   ledger.fill(views, now);
//   PlacementDecision decision = placement->decide(request, views);
//   if (!decision.upstream)
//       ... decision.reason is Saturated (admission.requeue) or NoUpstream (reject as "not run")
//   ledger.sent(*decision.upstream, request.tokens, now, request.outputTokens);
//   ... and when the answer has ended:
//   ledger.finished(*decision.upstream, request.tokens, now);
//   if (decision.notFirstChoice)
//       directory.put(request.chat, *decision.upstream, now);
//   else
//       directory.erase(request.chat);
//   std::string next = signer.issue(organisation, chat, *decision.upstream, wallNow);
//
// Admitting it before:
//
//   AdmissionRequest entry { ticket, organisation, weight, classify(promptTokens, maxTokens), tokens };
//   for (const AdmissionEvent& event : admission.submit(entry, now))
//       ... Run, Queued, or a rejection with retryAfter; likewise for admission.poll(now)
//   ... and when it ended: admission.finished(ticket, now); then admission.poll(now)
//
// Ending it:
//
//   Outcome outcome = deriveOutcome({ bytesWritten, answerComplete, upstreamSaysNotRun });
//   if (outcome != Outcome::Completed
//       && budget.tryRetry({ repeatable, outcome, false, deadline }, now) == RetryVerdict::Allowed)
//       ... place it again, with the upstream that failed marked Unusable in the views

#include "request/admission.h"
#include "request/attempt.h"
#include "request/costplacement.h"
#include "request/eventrelay.h"
#include "request/fleetbudget.h"
#include "request/forecast.h"
#include "request/hint.h"
#include "request/loadledger.h"
#include "request/outcome.h"
#include "request/partmemory.h"
#include "request/placement.h"
#include "request/residence.h"
#include "request/retry.h"
#include "request/urgency.h"
