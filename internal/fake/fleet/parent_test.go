package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
)

// asParent, as the first argument, makes the test program start a process in the folder of the next argument, and wait.
const asParent = "parent"

// parent starts a process that keeps this one's output open, prints that, and waits for its own end.
func parent(dir string) {
	p, err := NewProcess(dir, []string{os.Args[0]}, nil)
	if err == nil {
		p.Log = "/dev/stdout"
		err = os.WriteFile(p.Config(), []byte(p.Addr), 0o600)
	}
	if err == nil {
		err = p.Start(context.Background())
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("started")
	io.Copy(io.Discard, os.Stdin)
}
