//go:build !linux

package fleet

import "os/exec"

// EndWithParent does nothing on systems other than Linux, which lack a signal to children on the death of a parent.
func EndWithParent(*exec.Cmd) {}
