package fleet

import (
	"os/exec"
	"syscall"
)

// EndWithParent lets the kernel kill a process that is about to start when the program that starts it ends, in any way.
func EndWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
