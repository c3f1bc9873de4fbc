// Package config parses the configuration files of the product program: the program's own file, the cluster files and
// the tenants' file. It does no I/O: it is given the bytes of the files, and returns a complete, checked configuration
// or what is wrong with it, by file and line (cluster.Problem).
//
// A file is surveyed, then decoded strictly, then each part is checked and converted:
//
//   - survey.go, schema.go: limits and unknown keys, before a file is decoded into memory
//   - decode.go, problems.go: decoding TOML, and problems by line
//   - programfile.go, parseprogram.go, program.go: the program's file as written, its parsing, and the result
//   - listeners.go, classes.go, tenants.go, routes.go, xds.go, extproc.go, agree.go: parts of the program's file
//   - clusterfile.go, clusterformat.go, clusters.go: parsing a cluster file, writing one, and all of a version
//
// The types whose names end in File have the names that operators write in their struct tags.
package config
