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
	releaseFloor = 0.5                    // minimum share of the servers in use
	releasePause = 100 * time.Millisecond // time for each of draining, restart and warming up
)

// newRelease returns a release with a wave for each server, and the ids of the release's versions in order: for each wave
// one that takes the server out of use and one that puts it back.
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

// playRelease plays a release to its end, and checks that each step of the release was exactly one version.
func (r *run) playRelease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.Length+2*activationTimeout)
	defer cancel()
	release, ids := r.newRelease()
	began := time.Now()
	command := agent.ReleaseCommand{Start: &release}
	active := 1 // number of the history's versions that have come into force; the first is not of the release
	for {
		reply, err := r.agent.ControlRelease(ctx, command)
		if err == nil && reply.Error == "" {
			command = agent.ReleaseCommand{} // the release has started; the empty command asks for its progress
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
			return fmt.Errorf("release has not ended in time: %+v: %w", reply, ctx.Err())
		case <-time.After(retryDelay):
		}
	}
}

// hasEnded reports whether a reply, which may be nil, says that the release has ended.
func hasEnded(reply *agent.ReleaseReply) bool {
	return reply != nil && reply.Progress != nil && reply.Progress.Ended()
}

// recordSteps records the versions of the history that have come into force after the first active ones, and returns the
// new number of active versions. A wave has two versions: one takes its server out of use, the next puts it back.
func (r *run) recordSteps(status *agent.Status, active int) int {
	history := status.History
	for active < len(history) && history[active].Number <= status.LogStatus.ActiveVersion {
		wave, isBack := (active-1)/2, active%2 == 0
		r.rig.Record.Add(fleet.Event{Kind: fleet.DrainAnnounced, Party: wave, Ended: isBack})
		r.outcome.Published++
		active++
	}
	return active
}

// checkSteps returns an error unless a release is done and the history consists of one version and then exactly the
// release's versions, given by their ids.
func checkSteps(progress *consensus.ReleaseProgress, history []consensus.Manifest, ids []string) error {
	want := 1 + len(ids)
	if progress.Result != consensus.ReleaseDone || len(history) != want {
		return fmt.Errorf("release ended with the result %q and a history of %d versions; want %d",
			progress.Result, len(history), want)
	}
	for i, id := range ids {
		if history[i+1].ID != id {
			return fmt.Errorf("step %d of the release has version id %s; want %s", i, history[i+1].ID, id)
		}
	}
	return nil
}
