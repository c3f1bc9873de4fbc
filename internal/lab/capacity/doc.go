// Package capacity checks a page of figures against the files that measured runs have written, and reports the lines of
// the page whose figures don't follow from them.
//
// # The page
//
// A page is Markdown. A figure on it is a number with a mark behind it, a comment that Markdown doesn't show:
//
//	A node carries 3.0 KB/s<!-- fig: (fleet:idle.node.in.mean + fleet:idle.node.out.mean) / 1000 -->.
//	| voter | 1.62 ms/s<!-- fig: fleet:idle.voter.cpu.slope --> a node |
//	| its residual | 2.9 %<!-- fig: 100 * fleet:idle.voter.cpu.relative --> |
//	At 1,900 nodes a voter needs some 3,100 ms/s<!-- fig: fleet:idle.voter.cpu.at(plan:nodes) to 100 -->.
//
// The mark belongs to the last number before it on its line; only words and signs without digits and without "|" may
// stand between the two, such as the unit. A number may have a minus, commas between thousands, and decimals. It is
// right where the expression, rounded to as many decimals as the number has, gives it; with "to STEP" at the end of
// the expression, rounded to the next multiple of STEP instead. Numbers without a mark are not checked. A page
// without any mark is an error.
//
// # Expressions
//
// Numbers, + - * /, parentheses, and names of figures:
//
//	FILE:KEY.FIELD       FILE is capacity/FILE.json beside the page, KEY one of its series: STEP.ROLE.QUANTITY, as
//	                     `yokestall lab scale FILE` prints them. FIELD is
//	                       slope, intercept, residual, relative, r2    of the line through its points
//	                       mean, most                                  of its points
//	                       n400                                        its value at size 400 (the mean of several there)
//	FILE:KEY.at(EXPR)    the line's value at a size, which need not have been measured
//	FILE:voters          of the run; also serves, regions, zones, seed, cores, memory_mb, clusters, servers, routes,
//	                     tenants
//	FILE:untold.STEP.n400  how many nodes did not act within the step's wait at size 400
//	FILE:NAME            a number of the file's "numbers": plan:nodes is the operators' 1,900
//
// A file that `yokestall lab process` has written has figures of single runs, and no lines:
//
//	FILE:SIZE.KEY        a figure, as the file has it: process_before:plan.rest.memory
//	FILE:SIZE.tenants    of the size as it was measured; also services, servers (of each service), routes, nodes
//	FILE:load            the machine's load average as the run began; also seed, cores, memory_mb
//
// Names have "_" for each "-" of the file's name and of its keys.
//
// A file that was not written by a run has {"name", "says", "numbers": {NAME: NUMBER}}, as capacity/plan.json has.
// Names are made of lower-case letters, digits and "_", so that a minus always subtracts.
//
// The lines in the files are calculated again from their points when they are read, so that a figure that was changed
// in a file is found too, unless all that follows from it was changed with it.
//
// # Files of this package
//
//   - page.go: the page and its marks
//   - parser.go, expression.go: formulas, and their values
//   - files.go: the folder of files
//   - fleetfile.go, processfile.go: the two kinds of files
package capacity
