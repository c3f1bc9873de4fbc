// Package cli is the product program's command line: one file a subcommand, named after it.
//
//   - cli.go makes the command tree; exit code 1 is any error, ErrReported one without further text.
//   - serve.go runs the program by its files, server.go holds the running program; check.go and demo.go.
//   - fleet.go has what the subcommands of `fleet` share: fleet_*.go. fleet_member.go is a program's part in a fleet.
//   - release.go and release_file.go are `release` and the file that it reads.
//   - lab.go has what the subcommands of `lab` share: lab_*.go.
//   - keys.go and memory.go apply the settings of keys and of the memory limit.
package cli
