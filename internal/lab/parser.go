package lab

import (
	"math"
	"time"

	"yokestall/internal/config"
)

// parser checks an experiment's file, a section a method, and translates it.
type parser struct {
	file       file
	experiment *Experiment
	// report adds an error about a key of a table. index is the table's, from 0, or noIndex.
	report func(table string, index int, key, format string, args ...any)
}

// Parse parses an experiment. name is the file's in messages. The error joins a *cluster.Problem for each fault.
func Parse(name string, text []byte) (*Experiment, error) {
	f := defaultFile()
	if err := config.Decode(name, text, &f); err != nil {
		return nil, err
	}
	report, joinedErrors := config.Reporter(name, text)
	p := &parser{
		file:       f,
		experiment: &Experiment{Name: f.Name, Says: f.Says, Seed: f.Seed, Service: f.Expect.Service},
		report:     report,
	}
	p.checkDay()
	p.checkKind()
	p.checkLimitsAndClients()
	p.setDay()
	p.setSettings()
	p.setClasses()
	p.setLoad()
	p.checkRequests()
	p.setTroubles()
	p.setFaults()
	if err := joinedErrors(); err != nil {
		return nil, err
	}
	return p.experiment, nil
}

// checkNumber reports a number that is not between two bounds.
func (p *parser) checkNumber(table string, index int, key string, v, least, most float64) {
	if math.IsNaN(v) || v < least || v > most {
		p.report(table, index, key, "%v is not from %v to %v", v, least, most)
	}
}

// checkDuration reports a duration that is not between two bounds.
func (p *parser) checkDuration(table string, index int, key string, d config.Duration, least, most time.Duration) {
	if d.Duration < least || d.Duration > most {
		p.report(table, index, key, "%v is not from %v to %v", d, least, most)
	}
}
