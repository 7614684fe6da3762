#!/usr/bin/env bash
# Fails if a name of the platform's wire stands outside platform/ and deploy/: header fields and paths anywhere
# in the code, and the fields of its documents where they are quoted. X-Request-Id and /objects are left out: the
# project's own engine and store interfaces have used these usual names since before the platform.
set -euo pipefail
cd "$(dirname "$0")/../.."
headers='X-Deadline-Ms|X-Prompt-Prefix|X-Response-Signature|X-Tenant|X-Expect-Instance|X-Server-Load|X-Not-Executed|X-Instance-Id|X-Model\b|X-Token-Usage|X-Request-Urgency|X-Weight-Versions|X-Expect-Version|X-Pin-Ms|X-Hold\b|X-Length-Hint|X-Kv-Backup|Kv-Fetch|Kv-From|Api-Key'
fields='"(Metadata|Spec|StoreRevision|HasMore|WaitMs|Serializable|PathPrefix|TrafficSplit|TargetLatencyMs|MaxAttempts|GapAimMs|Resumable|Anonymous|Tenants|ApiKeys|KvCapacityTokens|MaxConnections|ColdRemainingMs|CreatedRev|Finalizers)"'
found=$(git ls-files -co --exclude-standard -- '*.cc' '*.h' '*.fbs' | grep -v '^platform/' |
  xargs -r grep -nE "$headers|$fields|BRIARWHARF_NODE_FILE" || true)
if [ -n "$found" ]; then
  echo "names of the platform's wire outside platform/ and deploy/:"
  echo "$found"
  exit 1
fi
echo "wire names: none outside platform/ and deploy/"
