package shapes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"yokestall/internal/testutil"
)

// connectionPhase is what has happened on a connection before its process is stopped.
type connectionPhase string

// The phases of a connection.
const (
	newConnection connectionPhase = "nothing sent"
	partOfHead    connectionPhase = "a part of the head sent"
	partOfBody    connectionPhase = "a part of the body sent"
	idle          connectionPhase = "one request answered"
)

// settleTime is the time in which a process reads what its clients have sent.
const settleTime = 100 * time.Millisecond

// SendWhileStopped opens connections to a process in all phases, stops it with SIGSTOP, sends the rest of a request of the class
// on each, and continues the process after a time. It returns the errors of those that got no whole final answer, or one that
// says that they were too slow.
func SendWhileStopped(addr string, process *os.Process, stopped time.Duration, class Class) (failures []error) {
	const connections = 40
	phases := []connectionPhase{newConnection, partOfHead, partOfBody, idle}
	var mu sync.Mutex
	var ready, running sync.WaitGroup
	send := make(chan struct{})
	ready.Add(connections)
	run := lastRun.Add(1)
	for i := range connections {
		phase := phases[i%len(phases)]
		id := fmt.Sprintf("stopped-%d-%d", run, i)
		running.Go(func() {
			if err := sendInPhase(addr, class, id, phase, &ready, send); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failures = append(failures, fmt.Errorf("%s before the stop: %w", phase, err))
			}
		})
	}
	ready.Wait()
	time.Sleep(settleTime)
	process.Signal(syscall.SIGSTOP)
	close(send)
	time.Sleep(stopped)
	process.Signal(syscall.SIGCONT)
	running.Wait()
	return failures
}

// sendInPhase opens a connection, brings it into the phase, reports that on ready, and sends the rest of a request when send is
// closed. It returns an error if the request gets no whole final answer.
func sendInPhase(
	addr string, class Class, id string, phase connectionPhase, ready *sync.WaitGroup, send <-chan struct{},
) error {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		ready.Done()
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(testutil.WaitTimeout))
	in := bufio.NewReader(nc)
	head, body := uploadOf(class, id)
	first, rest := "", head+body
	switch phase {
	case partOfHead:
		first, rest = head[:len(head)/2], head[len(head)/2:]+body
	case partOfBody:
		first, rest = head+body[:len(body)/2], body[len(body)/2:]
	case idle:
		firstHead, firstBody := uploadOf(class, id+"-first")
		first = firstHead + firstBody
	}
	_, err = io.WriteString(nc, first)
	if err == nil && phase == idle {
		err = readAnswer(in)
	}
	ready.Done()
	if err != nil {
		return fmt.Errorf("before the stop: %w", err)
	}
	<-send
	if _, err := io.WriteString(nc, rest); err != nil {
		return err
	}
	return readAnswer(in)
}

// uploadOf returns a request with a short body.
func uploadOf(class Class, id string) (head, body string) {
	const size = 16 << 10
	s := Plain(class)
	s.Request.Size = size
	head = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout-Ms: 8000\r\nContent-Length: %d\r\n\r\n",
		class.Method, s.Target(), id, size)
	return head, string(testutil.Bytes(size))
}

// readAnswer reads one whole answer.
func readAnswer(in *bufio.Reader) error {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusRequestTimeout {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
