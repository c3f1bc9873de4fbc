package lab

import (
	"math"
	"time"

	"yokestall/internal/config"
)

// parser checks an experiment file and translates it; each section has a method. Parse discards the experiment if the
// file has problems.
type parser struct {
	file       experimentFile
	experiment *Experiment
	report     reportFunc
}

// reportFunc records a problem of a key of a table. index counts the tables of that name from 0, and is noIndex for a
// table that a file has once; key "" stands for the whole table.
type reportFunc func(table string, index int, key, format string, args ...any)

// noIndex is the index of a table that occurs only once in a file.
const noIndex = -1

// Parse parses an experiment file. name is the file's name in messages. The error joins a *cluster.Problem for each
// problem.
func Parse(name string, text []byte) (*Experiment, error) {
	f := defaultFile()
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	report, joinedProblems := config.Reporter(name, text)
	p := &parser{
		file: f,
		experiment: &Experiment{
			Name:        f.Name,
			Description: f.Description,
			Seed:        f.Seed,
			MinService:  f.Expect.MinService,
		},
		report: report,
	}
	p.checkDay()
	p.checkServer()
	p.checkLimitsAndClients()
	p.setDay()
	p.setSettings()
	p.setClasses()
	p.setLoad()
	p.checkRequests()
	p.setServerFaults()
	p.setProcessFaults()
	if err := joinedProblems(); err != nil {
		return nil, err
	}
	return p.experiment, nil
}

// section checks the keys of one table of the file.
type section struct {
	report reportFunc
	table  string
	index  int
}

// section returns the section of a table that occurs only once in a file; "" stands for the keys before all tables.
func (p *parser) section(table string) section { return section{p.report, table, noIndex} }

// sectionAt returns the section of the table at an index, from 0, among the tables of the same name.
func (p *parser) sectionAt(table string, index int) section { return section{p.report, table, index} }

// problem reports a problem of a key of the section.
func (s section) problem(key, format string, args ...any) {
	s.report(s.table, s.index, key, format, args...)
}

// checkNumber reports a number that is NaN, less than least or greater than most.
func (s section) checkNumber(key string, v, least, most float64) {
	if math.IsNaN(v) || v < least || v > most {
		s.problem(key, "%v is not from %v to %v", v, least, most)
	}
}

// checkDuration reports a duration that is less than least or greater than most.
func (s section) checkDuration(key string, d config.Duration, least, most time.Duration) {
	if d.Duration < least || d.Duration > most {
		s.problem(key, "%v is not from %v to %v", d, least, most)
	}
}
