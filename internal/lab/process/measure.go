package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"yokestall/internal/lab/ctxtime"
)

// Measure measures a plan's sizes, each with processes of its own that command starts, in folders below dir. What is
// found goes to out as it comes. Where the run ends early, the report has what was measured until then.
func Measure(ctx context.Context, p *Plan, dir string, command, env []string, out io.Writer) (*Report, error) {
	r := &Report{Commit: revision(), Began: time.Now().UTC().Format(time.RFC3339), Seed: p.Seed, Machine: machine()}
	err := r.measureSizes(ctx, p, dir, command, env, out)
	for _, s := range p.Slopes {
		r.slope(s)
	}
	return r, err
}

func (r *Report) measureSizes(ctx context.Context, p *Plan, dir string, command, env []string, out io.Writer) error {
	for _, size := range p.Sizes {
		m := &measurement{plan: p, size: size, dir: filepath.Join(dir, size.Name), command: command, env: env, report: r, out: out}
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return err
		}
		if err := m.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", size.Name, err)
		}
		if err := os.RemoveAll(m.dir); err != nil {
			return err
		}
	}
	return nil
}

// measurement is the measuring of one size.
type measurement struct {
	plan    *Plan
	size    Size
	dir     string
	command []string
	env     []string
	report  *Report
	out     io.Writer
	served  *ServeProcess
	restCPU float64 // CPU time at rest, as a share of a core
}

func (m *measurement) run(ctx context.Context) error {
	taken, err := m.measureCheck(ctx, "check")
	if err != nil {
		return err
	}
	if !taken {
		less, ok := m.plan.Fallback(m.size)
		if m.size.OnlyIfAccepted || !ok {
			m.note("not measured further: the program does not take it")
			return nil
		}
		m.note("measured on with %d tenants, %d of the plan's", less.Tenants, m.size.Tenants)
		m.size.Tenants = less.Tenants
		if taken, err = m.measureCheck(ctx, "check_fewer_tenants"); err != nil || !taken {
			return fmt.Errorf("with %d tenants: taken %v, %w", less.Tenants, taken, err)
		}
	}
	m.report.Sizes = append(m.report.Sizes, m.size)
	if load, err := loadAverage(); err == nil {
		m.note("the machine's load average as it began: %.1f", load)
	}
	steps := []func(context.Context) error{m.measureStart, m.measureRest, m.measureLoad, m.changeSettings, m.changeRoutes, m.changeLists, m.measurePeak}
	defer func() {
		if m.served != nil {
			m.served.Close()
		}
	}()
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measureCheck has the program check the files of the size.
func (m *measurement) measureCheck(ctx context.Context, what string) (bool, error) {
	g := Generator{Size: m.size, Seed: m.plan.Seed, Place: DefaultPlace()}
	dir := filepath.Join(m.dir, "checked")
	if err := g.Write(dir); err != nil {
		return false, err
	}
	v, err := Check(ctx, m.command, m.env, filepath.Join(dir, programFile))
	if err != nil {
		return false, err
	}
	taken := 0.0
	if v.Accepted {
		taken = 1
	} else {
		m.note("check refuses %d tenants, %d routes: %s", m.size.Tenants, m.size.Routes, withoutFolder(v.Output, dir))
	}
	m.addFigure(what+".taken", taken, "of 1")
	m.addFigure(what+".cpu", v.CPU.Seconds(), "s")
	m.addFigure(what+".wall", v.Wall.Seconds(), "s")
	m.addMemory(what+".peak", v.Peak)
	return v.Accepted, os.RemoveAll(dir)
}

// measureStart starts the process, and takes what it has used until it serves.
func (m *measurement) measureStart(ctx context.Context) error {
	began := time.Now()
	s, err := StartServe(ctx, m.size, m.plan.Seed, m.plan.ServerDelay.Duration, m.dir, m.command, m.env)
	if err != nil {
		return err
	}
	m.served = s
	u, err := s.Usage()
	if err != nil {
		return err
	}
	m.addFigure("ready.cpu", u.CPU.Seconds(), "s")
	m.addFigure("ready.wall", time.Since(began).Seconds(), "s")
	m.addMemory("ready.memory", u.RSS)
	m.addMemory("ready.peak", u.Peak)
	return nil
}

// measureRest watches the process while nobody asks it anything.
func (m *measurement) measureRest(ctx context.Context) error {
	if err := m.measureMemory(ctx, "rest.memory"); err != nil {
		return err
	}
	before, err := m.served.Usage()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := ctxtime.Sleep(ctx, m.plan.RestDuration.Duration); err != nil {
		return err
	}
	after, err := m.served.Usage()
	if err != nil {
		return err
	}
	m.restCPU = (after.CPU - before.CPU).Seconds() / time.Since(began).Seconds()
	m.addFigure("rest.cpu", 100*m.restCPU, "% of a core")
	return nil
}

// measureMemory waits until the process's memory has settled, and takes it.
func (m *measurement) measureMemory(ctx context.Context, what string) error {
	rss, ok, err := AwaitSettledMemory(ctx, m.served.process.PID(), m.plan.SettleWindow.Duration)
	if err != nil {
		return err
	}
	if !ok {
		m.note("%s had not settled after %v", what, maxSettleWindows*m.plan.SettleWindow.Duration)
	}
	m.addMemory(what, rss)
	return nil
}

// measureLoad asks at each rate, over each number of services in use.
func (m *measurement) measureLoad(ctx context.Context) error {
	for _, rate := range m.plan.Rates {
		direct, err := m.served.RunDirectLoad(ctx, rate, m.plan.LoadDuration.Duration)
		if err != nil {
			return err
		}
		m.addLatency(fmt.Sprintf("load.%g.direct", rate), direct)
		for _, services := range m.plan.ServicesInUse {
			all := services == 0 || services >= m.size.Services
			name := fmt.Sprintf("load.%g.services_%d", rate, services)
			if all {
				services, name = m.size.Services, fmt.Sprintf("load.%g.services_all", rate)
			}
			l, err := m.served.RunLoad(ctx, rate, services, m.plan.LoadDuration.Duration)
			if err != nil {
				return err
			}
			m.addLatency(name, l)
			m.addLoadCost(name, l)
		}
	}
	return m.measureMemory(ctx, "load.memory")
}

// measurePeak takes the most memory that the process had, over all that was done to it.
func (m *measurement) measurePeak(context.Context) error {
	u, err := m.served.Usage()
	if err == nil {
		m.addMemory("end.peak", u.Peak)
	}
	return err
}
