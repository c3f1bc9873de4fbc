package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
)

// asParent, as the first argument, has the program of these tests start a process in the folder that follows, and
// then wait.
const asParent = "parent"

// parent starts a process that holds this one's output open, says so, and waits for its own end.
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
