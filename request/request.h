#pragma once

// The public header of the request library, which makes decisions about single requests. The library
// opens no sockets and reads no clock: the caller passes the current time as an argument.
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
//   if (hint.verdict == HintVerdict::Valid && hint.issued is not before the last cache loss of hint.upstream)
//       request.hint = hint.upstream;
//   if (request.returning && (there is no hint, or the hinted upstream is not serving))
//       request.directory = directory.find(request.chat, now);
//   ledger.fill(views, now);
//   PlacementDecision decision = placement->decide(request, views);
//   if (!decision.upstream)
//       ... decision.reason is Saturated (call admission.requeue) or NoUpstream (reject as "not run")
//   ledger.sent(*decision.upstream, request.tokens, now, request.outputTokens);
//   ... when the answer has ended:
//   ledger.finished(*decision.upstream, request.tokens, now);
//   if (decision.notFirstChoice)
//       directory.put(request.chat, *decision.upstream, now);
//   else
//       directory.erase(request.chat);
//   std::string next = signer.issue(organisation, chat, *decision.upstream, wallNow);
//
// Admitting a request, before it is placed:
//
//   AdmissionRequest entry { ticket, organisation, weight, classify(promptTokens, maxTokens), tokens };
//   for (const AdmissionEvent& event : admission.submit(entry, now))
//       ... the outcome is Run, Queued, or a rejection with retryAfter; likewise for admission.poll(now)
//   ... when the request has ended: admission.finished(ticket, now), then admission.poll(now)
//
// Deciding about a retry when an attempt has ended:
//
//   Outcome outcome = deriveOutcome({ bytesWritten, answerComplete, upstreamReportedNotRun });
//   if (outcome != Outcome::Completed
//       && budget.tryRetry({ repeatable, outcome, false, deadline }, now) == RetryVerdict::Allowed)
//       ... place the request again, with the failed upstream marked Unusable in the views

#include "request/admission.h"
#include "request/attempt.h"
#include "request/costplacement.h"
#include "request/eventrelay.h"
#include "request/firstbytetimes.h"
#include "request/fleetbudget.h"
#include "request/forecast.h"
#include "request/hedging.h"
#include "request/hint.h"
#include "request/homeweights.h"
#include "request/loadledger.h"
#include "request/outcome.h"
#include "request/partmemory.h"
#include "request/placement.h"
#include "request/residence.h"
#include "request/retry.h"
#include "request/segmentshare.h"
#include "request/spillcontrol.h"
#include "request/upstreamavailability.h"
#include "request/urgency.h"
