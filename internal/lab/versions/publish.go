package versions

import (
	"context"
	"fmt"
	"time"

	"yokestall/internal/fleet/agent"
)

const (
	activationTimeout  = 20 * time.Second // maximum time for one version to come into force
	convergenceTimeout = 10 * time.Second // maximum time from the end of the faults until all processes act on the last version
)

// publishAll publishes all versions except the first, or plays a release. began is the beginning of the faults. It returns
// the stamp of the last version.
func (r *run) publishAll(ctx context.Context, began time.Time) (lastStamp int, err error) {
	if r.Release {
		return 1, r.playRelease(ctx)
	}
	for stamp := 2; stamp <= r.Count; stamp++ {
		due := began.Add(r.Length * time.Duration(stamp-1) / time.Duration(r.Count))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(due)):
		}
		took, err := r.publish(ctx, stamp)
		if err != nil {
			return stamp - 1, err
		}
		r.outcome.ActivationTimes = append(r.outcome.ActivationTimes, took)
	}
	return max(1, r.Count), nil
}

// publish publishes the version with a stamp, with retries until voters accept it, and returns the time until the version
// was in force.
func (r *run) publish(ctx context.Context, stamp int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	id, began := agent.NewID(), time.Now()
	for {
		number, err := r.tryPublish(ctx, id, stamp)
		if number > 0 {
			r.outcome.Published++
			r.acknowledged[number] = id
			outcome, err := r.agent.WaitForVersion(ctx, number, func(agent.PublishOutcome) {})
			if err != nil || !outcome.InForce {
				return 0, fmt.Errorf("version %d was accepted but is not in force: %+v: %w", stamp, outcome, err)
			}
			return time.Since(began), nil
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("version %d was not accepted by the voters: %w", stamp, err)
		case <-time.After(retryDelay): // for example, while the voters elect a leader
		}
	}
}

// tryPublish makes one call to publish the version with a stamp, based on the version that is in force. It returns the
// number of the published version, or 0 if the version was not accepted.
func (r *run) tryPublish(ctx context.Context, id string, stamp int) (number uint64, err error) {
	status, err := r.agent.LatestStatus(ctx)
	if err != nil {
		return 0, err
	}
	reply, err := r.agent.Publish(ctx, id, status.LogStatus.ActiveVersion, r.versionFiles(stamp))
	if err != nil {
		return 0, err
	}
	return reply.Number, nil
}

// awaitConvergence waits until the last successful answer of each process to a request of a class other than read has the
// given stamp.
func (r *run) awaitConvergence(ctx context.Context, stamp int) error {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	for {
		behind := r.nodesBehind(stamp)
		if behind == "" {
			return nil
		}
		select {
		case <-r.answered:
		case <-ctx.Done():
			return fmt.Errorf("processes not on version %d %v after the faults had ended, with their last versions:%s",
				stamp, convergenceTimeout, behind)
		}
	}
}

// nodesBehind lists the processes whose last recorded answer has another stamp, each with that stamp; "" if there is none.
func (r *run) nodesBehind(stamp int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := ""
	for node := range r.Nodes {
		if r.lastStamp[node] != stamp {
			list += fmt.Sprintf(" n%d: %d", node, r.lastStamp[node])
		}
	}
	return list
}

// checkHistory returns an error if the voters' history has lost or replaced an acknowledged version. Acknowledged versions
// older than the history's first version are not checked.
func (r *run) checkHistory(ctx context.Context) error {
	status, err := r.agent.LatestStatus(ctx)
	if err != nil {
		return err
	}
	for _, m := range status.History {
		if id, acknowledged := r.acknowledged[m.Number]; acknowledged && id != m.ID {
			return fmt.Errorf("version %d was acknowledged with id %s but has id %s in the history", m.Number, id, m.ID)
		}
		delete(r.acknowledged, m.Number)
	}
	for number := range r.acknowledged {
		if len(status.History) > 0 && number >= status.History[0].Number {
			return fmt.Errorf("version %d was acknowledged but is missing from the history", number)
		}
	}
	return nil
}
