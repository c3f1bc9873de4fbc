package fleet

import (
	"os/exec"
	"syscall"
)

// EndWithParent has a process that is about to start be killed when the program that starts it ends, however that ends.
func EndWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
