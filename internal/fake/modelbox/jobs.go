package modelbox

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"yokestall/internal/model"
)

// WorkHeader is the request header with the work of the request's job in microseconds.
const WorkHeader = "X-Work-Us"

// ServeHTTP passes a request to the model as a job and answers according to the outcome.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	microseconds, err := strconv.ParseInt(r.Header.Get(WorkHeader), 10, 40)
	if err != nil || microseconds <= 0 {
		http.Error(w, "header X-Work-Us: want a positive number of microseconds", http.StatusBadRequest)
		return
	}
	s.notify(Arrived, r)
	outcome, served := s.submitJob(time.Duration(microseconds)*time.Microsecond, r.Header.Get("Idempotency-Key"))
	switch outcome {
	case model.Rejected:
		w.Header().Set("X-Not-Processed", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
	case model.Failed:
		http.Error(w, "failed", http.StatusInternalServerError)
	case model.Duplicate:
		fmt.Fprintln(w, "duplicate of an earlier request")
	case model.Unreachable:
		panic(http.ErrAbortHandler)
	case model.Overloaded:
		s.notify(Overloaded, r)
		panic(http.ErrAbortHandler)
	default:
		s.answerAccepted(w, r, served)
	}
}

// submitJob passes a job to the model. If the outcome is model.Accepted, the channel receives true when the job was served
// or false when it was lost.
func (s *Server) submitJob(work time.Duration, key string) (model.Outcome, <-chan bool) {
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

// answerAccepted waits for the end of an accepted job and answers its request. If the job was lost, the connection is
// aborted. If the server has the fault Unresponsive, the request gets no response, and the connection is aborted when
// the client disconnects.
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

// completeJobs ends the jobs that the model has completed so far, and sets the timer for the next one.
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

// failJobs ends jobs that the model has lost. The caller holds s.mu.
func (s *Server) failJobs(lost []model.Job) {
	for _, job := range lost {
		s.endJob(job, false)
	}
}

// endJob notifies the request that waits for a job whether the job was served. The caller holds s.mu.
func (s *Server) endJob(job model.Job, served bool) {
	if waiting := s.waiting[job.ID]; waiting != nil {
		delete(s.waiting, job.ID)
		waiting <- served
	}
}

// armTimer sets the timer to the completion of the next job, if there is one. The caller holds s.mu.
func (s *Server) armTimer() {
	if at, ok := s.model.NextCompletion(); ok {
		s.timer.Reset(max(0, at-s.now()))
	}
}
