package cli

import (
	"context"
	"time"
)

// minTaskEndTimeout is the shortest time that the tasks and the app have to end once the last answer was sent. Together with
// the drain of a listener it ends before a supervisor kills the process, 0.7 s after the longest deadline.
const minTaskEndTimeout = 300 * time.Millisecond

// shutDown ends the program in three steps:
//
//  1. The listeners and the external processor are told to end. They accept no more connections, and return once their
//     requests are answered or their drain timeout has passed.
//  2. The tasks end, on which requests depend until their last attempt: see server.tasks for a list.
//  3. The app ends. Requests that have outlasted the drain are aborted before the tasks end.
//
// A task that does not end, for example because its file system does not answer, is left behind after a time. What it has
// written by then is as after a crash of the process, which all stored forms withstand.
func (s *server) shutDown() {
	began, drainTimeout := time.Now(), s.drainTimeout()
	s.log.Info("stopping", "limit_ms", drainTimeout.Milliseconds())
	s.stopProcessor()
	s.listeners.Close()
	s.processor.Wait()
	s.app.AbortRequests()
	drained := time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.endTasks()
		s.tasks.Wait()
		s.app.Close()
	}()
	timeout := max(drainTimeout-time.Since(began), minTaskEndTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	select {
	case <-ended:
		s.log.Info("stopped", "drain_ms", drained.Sub(began).Milliseconds(), "tasks_ms", time.Since(drained).Milliseconds())
	case <-ctx.Done():
		s.log.Warn("tasks did not end in time, leaving them behind", "waited_ms", time.Since(drained).Milliseconds())
	}
}

// drainTimeout returns how long the listeners and the external processor may take to end.
func (s *server) drainTimeout() time.Duration {
	timeout := s.listeners.DrainTimeout()
	if settings := s.first.Program.ExtProc; settings.Address != "" {
		timeout = max(timeout, settings.Drain)
	}
	return timeout
}
