#!/usr/bin/env bash
# Fails if a name from the platform's wire protocol occurs outside platform/ and deploy/: header fields and
# BRIARWHARF_NODE_FILE anywhere in the code, and fields of its documents where they are quoted. X-Request-Id and
# /objects are not checked because the project's own engine and store interfaces already used these common names
# before the platform was supported.
set -euo pipefail
cd "$(dirname "$0")/../.."
headers='X-Deadline-Ms|X-Prompt-Prefix|X-Response-Signature|X-Tenant|X-Expect-Instance|X-Server-Load|X-Not-Executed|X-Instance-Id|X-Model\b|X-Token-Usage|X-Request-Urgency|X-Weight-Versions|X-Expect-Version|X-Pin-Ms|X-Hold\b|X-Length-Hint|X-Kv-Backup|Kv-Fetch|Kv-From|Api-Key|Server-Limit|Server-Leaving|X-Cold-Ms'
fields='"(Metadata|Spec|StoreRevision|HasMore|WaitMs|Serializable|PathPrefix|TrafficSplit|TargetLatencyMs|MaxAttempts|GapAimMs|Resumable|Anonymous|Tenants|ApiKeys|KvCapacityTokens|KvTokenBytes|LinkMbps|MaxConnections|ColdRemainingMs|ColdS|ColdPerS|CreatedRev|Finalizers)"'
found=$(git ls-files -co --exclude-standard -- '*.cc' '*.h' '*.fbs' | grep -v '^platform/' |
  xargs -r grep -nE "$headers|$fields|BRIARWHARF_NODE_FILE" || true)
if [ -n "$found" ]; then
  echo "names of the platform's wire outside platform/ and deploy/:"
  echo "$found"
  exit 1
fi
echo "wire names: none outside platform/ and deploy/"
