package keystore

import (
	"fmt"
	"time"
)

const (
	// compactMinBytes is the size that a file must exceed to be compacted, in bytes.
	compactMinBytes = 1 << 20
	// compactRatio is the ratio of the file's size to the size of the live records that a file must exceed to be compacted.
	compactRatio = 4
)

// runWriter writes the queued records in batches. It is the writer's goroutine, and returns when the queue is closed and
// empty.
func (l *Log) runWriter() {
	defer close(l.done)
	defer l.lock.Close()
	defer func() { l.file.Close() }()
	var batch []record
	var encoded []byte
	for r := range l.queue {
		batch = l.collect(append(batch[:0], r))
		encoded = encoded[:0]
		for i := range batch {
			encoded = batch[i].append(encoded)
		}
		if l.err == nil {
			l.err = l.commit(batch, encoded)
		}
		for _, r := range batch {
			if r.durable != nil {
				r.durable <- l.err
			}
		}
	}
}

// collect adds the queued records to a batch, up to maxQueuedRecords in total, without waiting for further ones.
func (l *Log) collect(batch []record) []record {
	for len(batch) < maxQueuedRecords {
		select {
		case r, open := <-l.queue:
			if !open {
				return batch
			}
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// commit makes a batch durable, and then compacts the file if it has become too large.
func (l *Log) commit(batch []record, encoded []byte) error {
	n, err := l.file.Write(encoded)
	l.size += int64(n)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("keystore: writing to the log: %w", err)
	}
	for _, r := range batch {
		l.apply(r)
	}
	if l.size > compactMinBytes && l.size > compactRatio*l.liveBytes {
		return l.compact(time.Now())
	}
	return nil
}

// apply updates the live records for a record that is durable.
func (l *Log) apply(r record) {
	old, known := l.live[r.key]
	if !known && r.kind != started {
		return // the key has expired, or its start was not recorded
	}
	if known {
		l.liveBytes -= old.size()
		delete(l.live, r.key)
	}
	if r.kind == rejected {
		return
	}
	if r.kind != started {
		r.fingerprint, r.expiresAt = old.fingerprint, old.expiresAt
	}
	r.durable = nil
	l.live[r.key] = r
	l.liveBytes += r.size()
}
