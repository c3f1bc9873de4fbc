// Package keystore is a write-ahead log of idempotency keys. It records which requests have started and how they completed.
// After a crash, a key whose request had started and not completed counts as one whose request may have run, so that a
// repeated request under it does not run.
//
// The file is a magic number of eight bytes followed by records. Each record is its length, a CRC-32C checksum and its
// content. Records that arrive during a write go into the next batch, which is written at once and followed by one fsync
// (group commit). RecordStart returns once its record is durable. RecordCompletion does not wait for that: if a completion
// is lost, its key counts as one whose request may have run, which is safe.
//
// After an error of a write, an fsync or a compaction the log has failed for good: it writes nothing more, and each later
// RecordStart returns the error.
//
// An incomplete record at the end of the file is a torn write, and Open discards it. If complete records follow an
// unreadable one, the file is damaged, and Open refuses it. Damage within the last record can't be distinguished from a
// torn write.
package keystore
