// Package idempotency recognises repeated requests by their idempotency keys, from the start of the first request under a
// key to the end of the key's deduplication window. It follows the IETF draft on the Idempotency-Key header field
// (draft-ietf-httpapi-idempotency-key-header): a repeated request gets the outcome of the first request, or a conflict.
//
// The package does no I/O: time is passed in, and no call blocks.
//
//	state of the key  meaning                                                    verdict on a request under the key
//	(none)            the key has no entry                                       First or StoreFull
//	running           the first request is in progress                           Joined, InProgress or Mismatch
//	answered          the first request was answered; its outcome may be cached  Replayed or Mismatch
//	outcomeUnknown    the first request may have run; its outcome is unknown     OutcomeUnknown or Mismatch
//
// The entry of a request that was rejected is removed at once, because the request has not run. An entry is never evicted
// while its request runs, and after that not before its window has ended: when the store is full, requests under new keys
// are rejected, which is safe.
package idempotency
