// The command review2 has the cases of the second review. review/N/run.sh calls it from the repository's folder with the name
// of its case and its folder.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(*rig){
	"alone":   aloneCase,
	"fronts":  frontsCase,
	"torn":    tornCase,
	"longkey": longKeyCase,
	"ending":  endingCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}
