package fleet

import (
	"os/exec"
	"syscall"
)

// EndWithParent sets up cmd, which must not have been started, so that the kernel kills the process when its parent
// ends for any reason.
func EndWithParent(cmd *exec.Cmd) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
