// Package keystore is a write-ahead log of idempotency keys: which have started, and how they completed. After a
// crash a key that had started and not completed is known as one that may have run, and does not run again.
//
// The file is a magic number of eight bytes followed by records, each with its length, a CRC-32C and its content.
// Records that arrive while a write is in progress go out together with the next one (group commit), followed by
// one fsync. RecordStart returns once its record is durable. Completions are not waited for: a lost one makes its
// key one that may have run, which is the safe side.
//
// After an error of a write or an fsync nothing more is claimed to be durable: the log has failed for good, and
// each later RecordStart gives the error. An incomplete record at the end of the file is a torn write and is cut
// off. One with complete records behind it is damage, and Open refuses the file. A fault in the very last record
// can't be told from a torn write.
package keystore
