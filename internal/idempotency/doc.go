// Package idempotency recognises repeated requests by their idempotency keys: while the first request under a key
// is in progress, and after that until the window of the key ends. It follows the IETF draft on the
// Idempotency-Key header field (draft-ietf-httpapi-idempotency-key-header): a repeat gets the outcome of the
// first request, or a conflict.
//
// The package is pure: time is passed in, and nothing blocks.
//
//	state           meaning                                       a request under the key gets
//	(none)          nothing is known of the key                   First: it runs
//	running         the first request is in progress              Joined, InProgress or Mismatch
//	answered        it was answered; its outcome may be cached    Replayed or Mismatch
//	outcomeUnknown  it may have run, and no outcome is known      OutcomeUnknown or Mismatch
//
// A request that was rejected has not run, and its key is forgotten at once. A running entry is never evicted,
// and a completed one not before its window ends: when the store is full, requests under new keys are rejected,
// which is safe.
package idempotency
