package versions

import (
	"context"
	"fmt"
	"time"

	"yokestall/internal/fake/fleet"
	"yokestall/internal/fleet/agent"
	"yokestall/internal/fleet/consensus"
)

const (
	releaseID    = "lab"
	releaseFloor = 0.5                    // share of the servers in use
	releasePause = 100 * time.Millisecond // for draining, restart and warming up, each
)

// newRelease returns a release that takes each server out of service and back, and the ids of its versions in order.
func (r *run) newRelease() (release consensus.Release, ids []string) {
	release = consensus.Release{
		ID:      releaseID,
		Cluster: clusterName,
		Floor:   releaseFloor,
		Drain:   releasePause,
		Restart: releasePause,
		Warm:    releasePause,
	}
	for wave := range r.Servers {
		release.Waves = append(release.Waves, []string{serverID(wave)})
		ids = append(ids,
			fmt.Sprintf("release/%s/%d/out", releaseID, wave),
			fmt.Sprintf("release/%s/%d/in", releaseID, wave),
		)
	}
	return release, ids
}

// playRelease plays a release to its end, and checks that each of its steps was one version.
func (r *run) playRelease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.Length+2*activationTimeout)
	defer cancel()
	release, ids := r.newRelease()
	began := time.Now()
	command := agent.ReleaseCommand{Start: &release}
	active := 1 // how many versions of the history are in force; the first is none of the release
	for {
		reply, err := r.agent.ControlRelease(ctx, command)
		if err == nil && reply.Error == "" {
			command = agent.ReleaseCommand{} // it has started; this asks for its progress
		}
		if status, err := r.agent.LatestStatus(ctx); err == nil {
			active = r.recordSteps(status, active)
			if command.Start == nil && hasEnded(reply) && active == len(status.History) {
				r.outcome.ActivationTimes = append(r.outcome.ActivationTimes, time.Since(began))
				return checkSteps(reply.Progress, status.History, ids)
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the release is not over: %+v: %w", reply, ctx.Err())
		case <-time.After(retryDelay):
		}
	}
}

// hasEnded tells whether a reply says that the release has ended.
func hasEnded(reply *agent.ReleaseReply) bool {
	return reply != nil && reply.Progress != nil && reply.Progress.Ended()
}

// recordSteps records the versions that have come into force since so many were, and returns how many are now. A wave
// has two: its server is out of service, and back.
func (r *run) recordSteps(status *agent.Status, active int) int {
	history := status.History
	for active < len(history) && history[active].Number <= status.LogStatus.ActiveVersion {
		wave, isBack := (active-1)/2, active%2 == 0
		r.rig.Record.Add(fleet.Event{What: fleet.Told, Who: wave, Over: isBack})
		r.outcome.Published++
		active++
	}
	return active
}

// checkSteps checks that a release is done, and that the history has exactly its versions after the first.
func checkSteps(progress *consensus.ReleaseProgress, history []consensus.Manifest, ids []string) error {
	want := 1 + len(ids)
	if progress.Result != consensus.ReleaseDone || len(history) != want {
		return fmt.Errorf("the release ended by %q with %d versions of %d", progress.Result, len(history), want)
	}
	for i, id := range ids {
		if history[i+1].ID != id {
			return fmt.Errorf("step %d is %s, not %s", i, history[i+1].ID, id)
		}
	}
	return nil
}
