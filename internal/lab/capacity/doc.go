// Package capacity checks the figures on a Markdown page against the files that measured runs have written. It reports the
// lines of the page whose figures don't follow from the files.
//
// # The page
//
// A page is Markdown. A figure on the page is a number followed by a mark, a comment that Markdown doesn't show:
//
//	A node carries 3.0 KB/s<!-- fig: (fleet:idle.node.in.mean + fleet:idle.node.out.mean) / 1000 -->.
//	| voter | 1.62 ms/s<!-- fig: fleet:idle.voter.cpu.slope --> a node |
//	| its residual | 2.9 %<!-- fig: 100 * fleet:idle.voter.cpu.relative --> |
//	At 1,900 nodes a voter needs some 3,100 ms/s<!-- fig: fleet:idle.voter.cpu.at(plan:nodes) to 100 -->.
//
// A mark belongs to the last number before it on its line. Between the two there may be text without digits and without
// "|", such as the unit. A number may have a minus sign, commas between thousands, and decimals. The number is correct if
// it equals the value of the mark's expression, rounded to as many decimals as the number has. If the expression ends with
// "to STEP", the value is rounded to the nearest multiple of STEP instead. Numbers without a mark are not checked. A page
// without any mark is an error.
//
// # Expressions
//
// An expression is made of numbers, the operators + - * /, parentheses, and names of figures:
//
//	FILE:KEY.FIELD       FILE is the file capacity/FILE.json in the page's folder. KEY is one of the file's series,
//	                     STEP.ROLE.QUANTITY, as `yokestall lab scale FILE` prints them. FIELD is
//	                       slope, intercept, residual, relative, r2    of the line fitted to its points
//	                       mean, most (the maximum)                    of its points
//	                       n400                                        the value at size 400 (the mean of several points there)
//	FILE:KEY.at(EXPR)    the fitted line's value at a size, which need not have been measured
//	FILE:voters          a property of the run; the others are serves, regions, zones, seed, cores, memory_mb, clusters,
//	                     servers, routes and tenants
//	FILE:untold.STEP.n400  the number of nodes that did not act on a version within the step's timeout at size 400
//	FILE:NAME            a number from the file's "numbers"; plan:nodes is the operators' 1,900
//
// A file written by `yokestall lab process` has figures of single runs and no fitted lines. Its names are:
//
//	FILE:SIZE.KEY        a figure under its name in the file, such as process_before:plan.rest.memory
//	FILE:SIZE.tenants    a dimension of the measured size; the others are services, servers (of each service), routes
//	                     and nodes
//	FILE:load            the machine's load average at the start of the run; the other properties are seed, cores and
//	                     memory_mb
//
// A name in an expression has "_" in place of each "-" in the file's name and keys.
//
// A file that was not written by a run has {"name", "says", "numbers": {NAME: NUMBER}}, as capacity/plan.json has.
// Its names are made of lower-case letters, digits and "_", because "-" in an expression always subtracts.
//
// When a file is read, its means, maxima and fitted lines are calculated again from the points. So a changed figure in a
// file is found too, unless all figures that follow from it were changed consistently.
//
// # Files of this package
//
//   - page.go: the page and its marks
//   - parser.go, expression.go: the formulas in marks, and their values
//   - files.go: the folder with the files of figures
//   - fleetfile.go, processfile.go: files of figures written by `yokestall lab scale` and `yokestall lab process`
package capacity
