package fleet

import (
	"fmt"
	"time"
)

// VersionRules are what attempts that bear the number of their rules are judged by. Each version contradicts each
// other one on all classes that are not safe.
type VersionRules struct {
	Idempotent    []bool // by class
	NotIdempotent []bool
	Removed       func(stamp, server int) bool // whether a version has a server out
	Grace         time.Duration                // after a process took a version, in which servers that it has out may get more
	Slack         time.Duration
}

// Contradiction is how long two processes acted on rules that contradict each other, as servers saw it.
type Contradiction struct {
	Longest      time.Duration
	Count        int // attempts by rules that others had left behind
	Worst        Event
	NewerVersion int // the version whose first attempt the worst one came after
}

// CheckVersions reads what came to servers, in the order of the times: how long attempts by a version went on coming
// after the first one by a later version, and the rules that were broken. It knows nothing of the program.
func CheckVersions(events []Event, rules VersionRules) (c Contradiction, found []Finding) {
	class, process := map[string]int{}, map[string]int{}
	ran := map[string]int{}
	type taken struct{ process, stamp int }
	took := map[taken]time.Duration{}
	first := map[int]time.Duration{} // of versions, by attempts that are not safe
	newest := 0
	out := map[int]time.Duration{} // servers, since when all know that they are out
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case DrainAnnounced:
			if delete(out, e.Party); !e.Ended {
				out[e.Party] = e.At
			}
		case RequestSent:
			class[e.ID], process[e.ID] = e.Class, e.Party
		case AttemptArrived:
			of, known := class[e.ID]
			if !known || e.Version == 0 {
				found = append(found, Finding{Rule: "an attempt of what nobody asked, or by no rules", At: e.At, ID: e.ID, Party: e.Party})
				continue
			}
			if ran[e.ID]++; rules.NotIdempotent[of] && ran[e.ID] > 1 {
				found = append(found, Finding{Rule: "an effect that happened twice", At: e.At, ID: e.ID, Party: e.Party})
			}
			by := taken{process[e.ID], e.Version}
			if _, known := took[by]; !known {
				took[by] = e.At
			}
			if rules.Removed(e.Version, e.Party) && e.At > took[by]+rules.Grace+rules.Slack {
				found = append(found, Finding{Rule: fmt.Sprintf("an attempt at a server that version %d has out", e.Version), At: e.At, ID: e.ID, Party: e.Party, Timing: true})
			}
			if rules.Idempotent[of] { // a process that is cut off may go on with these
				continue
			}
			if at, is := out[e.Party]; is && e.At > at+rules.Grace+rules.Slack {
				found = append(found, Finding{Rule: "an attempt at a server that is out", At: e.At, ID: e.ID, Party: e.Party, Timing: true})
			}
			if _, known := first[e.Version]; !known {
				first[e.Version] = e.At
			}
			newest = max(newest, e.Version)
			for later := e.Version + 1; later <= newest; later++ {
				at, known := first[later]
				if !known {
					continue
				}
				if c.Count++; e.At-at > c.Longest {
					c.Longest, c.Worst, c.NewerVersion = e.At-at, *e, later
				}
				break
			}
		}
	}
	return c, found
}

// CheckOwnerTokens reads who answered as the owner of a work: nobody may who was asked after an answer by a higher token
// had come. It gives how many owners there were, one after the other, and the longest time between the last answer of
// one and the first of the next.
func CheckOwnerTokens(events []Event) (owners int, longest time.Duration, found []Finding) {
	var highest int
	var since, last time.Duration // when the highest token was heard of first, and when any owner was heard last
	for i := range events {
		e := &events[i]
		switch {
		case e.Kind != OwnerAnswered:
		case e.Version < highest && e.Reference > since:
			found = append(found, Finding{Rule: fmt.Sprintf("an owner by token %d, asked %v after one by %d had answered", e.Version, e.Reference-since, highest), At: e.At, Party: e.Party})
		case e.Version > highest:
			if owners++; owners > 1 {
				longest = max(longest, e.At-last)
			}
			highest, since, last = e.Version, e.At, e.At
		default:
			last = e.At
		}
	}
	return owners, longest, found
}
