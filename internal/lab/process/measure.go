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

// Measure measures a plan's sizes one after the other, each with processes of its own that command starts, in folders
// below dir. Figures are printed to out as they are measured. With an error the report has what was measured until
// then.
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
		m := &measurement{
			plan: p, size: size, dir: filepath.Join(dir, size.Name), command: command, env: env, report: r, out: out,
		}
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

// measurement is the run of one size.
type measurement struct {
	plan    *Plan
	size    Size
	dir     string
	command []string
	env     []string
	report  *Report
	out     io.Writer
	served  *ServeProcess // nil before measureStart
	restCPU float64       // CPU time a second at rest, in seconds
}

// run measures the size, with fewer tenants if the program rejects as many as it has.
func (m *measurement) run(ctx context.Context) error {
	ok, err := m.findAcceptedSize(ctx)
	if err != nil || !ok {
		return err
	}
	m.report.Sizes = append(m.report.Sizes, m.size)
	if load, err := loadAverage(); err == nil {
		m.note("the machine's load average as it began: %.1f", load)
	}
	defer func() {
		if m.served != nil {
			m.served.Close()
		}
	}()
	steps := []func(context.Context) error{
		m.measureStart,
		m.measureRest,
		m.measureLoad,
		m.changeSettings,
		m.changeRoutes,
		m.changeLists,
		m.measurePeak,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// findAcceptedSize checks the size, and if the program rejects it the one with the plan's FallbackTenants, which is the
// size to measure then. false: there is none to measure.
func (m *measurement) findAcceptedSize(ctx context.Context) (bool, error) {
	accepted, err := m.measureCheck(ctx, "check")
	if err != nil || accepted {
		return accepted, err
	}
	fallback, ok := m.plan.Fallback(m.size)
	if m.size.OnlyIfAccepted || !ok {
		m.note("not measured further: the program does not take it")
		return false, nil
	}
	m.note("measured on with %d tenants, %d of the plan's", fallback.Tenants, m.size.Tenants)
	m.size.Tenants = fallback.Tenants
	if accepted, err = m.measureCheck(ctx, "check_fewer_tenants"); err != nil || !accepted {
		return false, fmt.Errorf("with %d tenants: taken %v, %w", fallback.Tenants, accepted, err)
	}
	return true, nil
}

// measureCheck runs the program's check of the size's files, and returns whether it accepts them.
func (m *measurement) measureCheck(ctx context.Context, what string) (bool, error) {
	g := Generator{Size: m.size, Seed: m.plan.Seed, Place: DefaultPlace()}
	dir := filepath.Join(m.dir, "checked")
	if err := g.Write(dir); err != nil {
		return false, err
	}
	result, err := Check(ctx, m.command, m.env, filepath.Join(dir, programFile))
	if err != nil {
		return false, err
	}
	accepted := 0.0
	if result.Accepted {
		accepted = 1
	} else {
		m.note("check refuses %d tenants, %d routes: %s",
			m.size.Tenants, m.size.Routes, withoutFolder(result.Output, dir))
	}
	m.addFigure(what+".taken", accepted, "of 1")
	m.addFigure(what+".cpu", result.CPU.Seconds(), "s")
	m.addFigure(what+".wall", result.Wall.Seconds(), "s")
	m.addMemory(what+".peak", result.Peak)
	return result.Accepted, os.RemoveAll(dir)
}

// measureStart starts the process and measures what it has used when it serves.
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

// measureRest measures the process while it gets no requests.
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

// measureMemory waits until the process's memory has settled and measures it.
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

// measureLoad measures the process under each rate, over each number of services in use, and for each rate the latency
// of the load generator without the process.
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

// measurePeak adds the maximum of the process's memory over all steps.
func (m *measurement) measurePeak(context.Context) error {
	u, err := m.served.Usage()
	if err == nil {
		m.addMemory("end.peak", u.Peak)
	}
	return err
}
