package keystore

import (
	"fmt"
	"time"
)

const (
	// compactMinBytes is the size of the file from which it may be compacted.
	compactMinBytes = 1 << 20
	// compactRatio is the size of the file, over that of the live records in it, from which it is compacted.
	compactRatio = 4
)

// write is the writer's goroutine. It ends when the queue is closed and empty.
func (l *Log) write() {
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

// collect adds to a batch the records that are queued.
func (l *Log) collect(batch []record) []record {
	for len(batch) < maxQueued {
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

// commit makes a batch durable.
func (l *Log) commit(batch []record, encoded []byte) error {
	n, err := l.file.Write(encoded)
	l.size += int64(n)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return fmt.Errorf("keystore: %w", err)
	}
	for _, r := range batch {
		l.apply(r)
	}
	if l.size > compactMinBytes && l.size > compactRatio*l.liveBytes {
		return l.compact(time.Now())
	}
	return nil
}

// apply updates the live records by one that is durable.
func (l *Log) apply(r record) {
	old, known := l.live[r.key]
	if !known && r.kind != started {
		return // the key has expired
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
