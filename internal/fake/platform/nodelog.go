package platform

import (
	"bufio"
	"io"
	"regexp"
	"slices"
)

// maxLogLines bounds the lines that are retained of a process's log.
const maxLogLines = 10_000

// operatorsLine matches the line by which a process logs the operators' address. Its text differs between versions
// of the program, which run side by side here: they share the subject and an attribute that is an address.
var operatorsLine = regexp.MustCompile(`^[^=]*\b(?:operators|admin)\b.*\b\w+=(127\.0\.0\.1:\d+)`)

// followLog reads the process's log to its end, sends the operators' address once it is there, and waits for the
// process.
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

// appendLine adds a line to the retained ones.
func (n *Node) appendLine(line string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.lines) == maxLogLines {
		n.lines = append(n.lines[:0], n.lines[1:]...)
	}
	n.lines = append(n.lines, line)
}

// Log returns the lines that the process has logged so far, at most the last 10,000.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.lines)
}

// lastLine returns the last line of the process's log, or an empty text.
func (n *Node) lastLine() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.lines) == 0 {
		return ""
	}
	return n.lines[len(n.lines)-1]
}
