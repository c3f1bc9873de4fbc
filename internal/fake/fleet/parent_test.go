package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
)

// asParent, as the first argument, makes the test program run parent with the folder of the second argument.
const asParent = "parent"

// parent starts a process that inherits standard output, prints "started", and waits until standard input closes.
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
