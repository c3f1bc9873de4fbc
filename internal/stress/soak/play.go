package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"yokestall/internal/stress/crowd"
	"yokestall/internal/stress/shapes"
)

const (
	// exchanges is the number of exchanges of a play.
	exchanges = 90
	// atOnce is the number of exchanges at once. With the disruptions they are fewer than the places for clients.
	atOnce = 30
	// startInterval is the time between the starts of two exchanges.
	startInterval = 20 * time.Millisecond
)

// Seeds returns the number of seeds of a soak: short, or that of the environment variable YOKESTALL_SOAK_SEEDS.
func Seeds(short int) int {
	if n, err := strconv.Atoi(os.Getenv("YOKESTALL_SOAK_SEEDS")); err == nil {
		return n
	}
	return short
}

// Play is the run of one seed: drawn exchanges and ordinary clients beside disruptions.
type Play struct {
	Addr        string // address of the program under test
	Seed        uint64
	Random      *rand.Rand // draws the disruptions' sizes
	Targets     Targets
	Disruptions []Disruption
	Classes     []shapes.Class // classes of the drawn exchanges
	Gateway     bool           // see shapes.Shape.Gateway
}

// Report is the result of a Play.
type Report struct {
	Exchanges shapes.Report
	Ordinary  crowd.OrdinaryReport
}

// Run runs the play.
func (p Play) Run() (report Report) {
	for _, d := range p.Disruptions {
		defer d.Start(p.Random, p.Addr)()
	}
	ordinary := make(chan crowd.OrdinaryReport, 1)
	go func() { ordinary <- crowd.RunOrdinary(ordinaryClients(p.Addr, p.Targets.Read)) }()
	options := shapes.Options{Addr: p.Addr, AtOnce: atOnce, Every: startInterval, MayRefuse: true}
	report.Exchanges = shapes.RunAll(options, shapes.DrawMany(p.Seed, exchanges, p.drawShape))
	report.Ordinary = <-ordinary
	return report
}

// drawShape draws an exchange.
func (p Play) drawShape(random *rand.Rand) shapes.Shape {
	s := shapes.Any(random, p.Classes, p.Targets.Bodies)
	if p.Gateway {
		return s.ForGateway()
	}
	return s
}

// Failures describes what broke a rule.
func (r Report) Failures() (list []string) {
	list = append(list, r.Exchanges.Failures...)
	if r.Ordinary.Late > 0 {
		list = append(list, fmt.Sprintf("ordinary clients: %v; want none late or lost", r.Ordinary))
	}
	return list
}

// String returns the counts for messages.
func (r Report) String() string {
	return fmt.Sprintf("%d exchanges kept the rules, %d were refused; ordinary clients: %v",
		r.Exchanges.Passed, r.Exchanges.Refused, r.Ordinary)
}
