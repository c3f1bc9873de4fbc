//go:build !linux

package fleet

import "os/exec"

// EndWithParent does nothing on systems other than Linux, where no signal at the death of a parent is set up.
// A process may then outlive the program that started it.
func EndWithParent(*exec.Cmd) {}
