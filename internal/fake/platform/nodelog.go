package platform

import (
	"bufio"
	"io"
	"regexp"
	"slices"
)

// maxLogLines is the number of lines of a process's log that are retained.
const maxLogLines = 10_000

// operatorsLine matches the line in which a process logs the address of its admin API. The text of that line differs
// between versions of the program, which run side by side here. All of them mention operators or the admin API before
// the attributes and have an attribute with a loopback address.
var operatorsLine = regexp.MustCompile(`^[^=]*\b(?:operators|admin)\b.*\b\w+=(127\.0\.0\.1:\d+)`)

// followLog reads the process's log to its end, sends the address of the admin API to adminAddr when the log has it,
// then waits for the process, sets Err and closes Ended.
func (n *Node) followLog(log io.Reader, adminAddr chan<- string) {
	found := false
	for lines := bufio.NewScanner(log); lines.Scan(); {
		line := lines.Text()
		n.appendLine(line)
		if match := operatorsLine.FindStringSubmatch(line); match != nil && !found {
			found = true
			adminAddr <- match[1]
		}
	}
	n.Err = n.Wait()
	close(n.Ended)
}

// appendLine retains a line of the log, and drops the oldest retained line if there are maxLogLines.
func (n *Node) appendLine(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.lines) == maxLogLines {
		n.lines = append(n.lines[:0], n.lines[1:]...)
	}
	n.lines = append(n.lines, line)
}

// Log returns a copy of the last lines that the process has logged, at most 10,000.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.lines)
}

// lastLine returns the last line of the process's log, or "" if there is none.
func (n *Node) lastLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.lines) == 0 {
		return ""
	}
	return n.lines[len(n.lines)-1]
}
