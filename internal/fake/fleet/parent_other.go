//go:build !linux

package fleet

import "os/exec"

// EndWithParent does nothing: this system has no signal at a parent's death.
func EndWithParent(*exec.Cmd) {}
