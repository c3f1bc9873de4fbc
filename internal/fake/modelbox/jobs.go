package modelbox

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"yokestall/internal/model"
)

// WorkHeader is the field of a request with its job's work in microseconds.
const WorkHeader = "X-Work-Us"

// ServeHTTP gives a request to the model as a job and answers as the model says.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	microseconds, err := strconv.ParseInt(r.Header.Get(WorkHeader), 10, 40)
	if err != nil || microseconds <= 0 {
		http.Error(w, "no work", http.StatusBadRequest)
		return
	}
	s.notify(Arrived, r)
	outcome, served := s.arrive(time.Duration(microseconds)*time.Microsecond, r.Header.Get("Idempotency-Key"))
	switch outcome {
	case model.Rejected:
		w.Header().Set("X-Not-Processed", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
	case model.Failed:
		http.Error(w, "failed", http.StatusInternalServerError)
	case model.Duplicate:
		fmt.Fprintln(w, "seen before")
	case model.Unreachable:
		panic(http.ErrAbortHandler)
	case model.Overloaded:
		s.notify(Overloaded, r)
		panic(http.ErrAbortHandler)
	default:
		s.answerAccepted(w, r, served)
	}
}

// arrive gives a job to the model. The channel is for an accepted one: it gets true when the job was served and false
// when it was lost.
func (s *Server) arrive(work time.Duration, key string) (model.Outcome, <-chan bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	job := model.Job{ID: s.lastID, Work: work, Key: key}
	outcome, lost := s.model.Arrive(s.now(), job, s.rng)
	served := make(chan bool, 1)
	switch outcome {
	case model.Accepted:
		s.waiting[job.ID] = served
		s.armTimer()
	case model.Overloaded:
		s.overloads++
		s.failJobs(lost)
	}
	return outcome, served
}

// answerAccepted waits for a job's end and answers. A lost job's connection breaks, and that of a server with the
// fault of being unresponsive stays without an answer until the client closes it.
func (s *Server) answerAccepted(w http.ResponseWriter, r *http.Request, served <-chan bool) {
	if !<-served {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.effects[requestID(r)]++
	unresponsive := s.model.Fault.Unresponsive
	s.mu.Unlock()
	s.notify(Completed, r)
	if unresponsive {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintln(w, "done")
}

// completeJobs ends the jobs that the model has served by now.
func (s *Server) completeJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		job, ok := s.model.PopCompleted(s.now())
		if !ok {
			break
		}
		s.endJob(job, true)
	}
	s.armTimer()
}

// failJobs ends jobs that the model has lost. mu must be locked.
func (s *Server) failJobs(lost []model.Job) {
	for _, job := range lost {
		s.endJob(job, false)
	}
}

// endJob sends a job's end to the request that waits for it. mu must be locked.
func (s *Server) endJob(job model.Job, served bool) {
	if waiting := s.waiting[job.ID]; waiting != nil {
		delete(s.waiting, job.ID)
		waiting <- served
	}
}

// armTimer sets the timer to the next job's completion. mu must be locked.
func (s *Server) armTimer() {
	if at, ok := s.model.NextCompletion(); ok {
		s.timer.Reset(max(0, at-s.now()))
	}
}
