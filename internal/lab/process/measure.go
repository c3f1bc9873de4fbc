package process

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"yokestall/internal/ctxtime"
)

// Measure measures the sizes of a plan one after the other. For each size it starts new processes as command, with env added to
// the environment, and writes their files to a folder below dir. It prints each figure to out when it is measured. If it
// returns an error, the report has the figures that were measured before the error.
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
	plan         *Plan
	size         Size
	dir          string
	command      []string
	env          []string
	report       *Report
	out          io.Writer
	serveProcess *ServeProcess // nil before measureStart
	idleCPU      float64       // CPU time a second at rest, in seconds
}

// run measures the size. If the program rejects the size, run measures it with the plan's FallbackTenants.
func (m *measurement) run(ctx context.Context) error {
	ok, err := m.findAcceptedSize(ctx)
	if err != nil || !ok {
		return err
	}
	m.report.Sizes = append(m.report.Sizes, m.size)
	if load, err := loadAverage(); err == nil {
		m.note("load average of the machine at the start of the size: %.1f", load)
	}
	defer func() {
		if m.serveProcess != nil {
			m.serveProcess.Close()
		}
	}()
	steps := []func(context.Context) error{
		m.measureStart,
		m.measureIdle,
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

// findAcceptedSize runs `yokestall check` on the size. If the program rejects the size, findAcceptedSize reduces its tenants to
// the plan's FallbackTenants and checks it again. It returns false if the size is not to be measured: it is rejected, and has
// OnlyIfAccepted set or no more tenants than FallbackTenants.
func (m *measurement) findAcceptedSize(ctx context.Context) (bool, error) {
	accepted, err := m.measureCheck(ctx, "check")
	if err != nil || accepted {
		return accepted, err
	}
	fallback, ok := m.plan.Fallback(m.size)
	if m.size.OnlyIfAccepted || !ok {
		m.note("not measured further: the program rejects the configuration of this size")
		return false, nil
	}
	m.note("measured further with %d tenants in place of the plan's %d", fallback.Tenants, m.size.Tenants)
	m.size.Tenants = fallback.Tenants
	if accepted, err = m.measureCheck(ctx, "check_fewer_tenants"); err != nil || !accepted {
		return false, fmt.Errorf("check with %d tenants: accepted %v, %w", fallback.Tenants, accepted, err)
	}
	return true, nil
}

// measureCheck runs `yokestall check` on the size's files, and returns whether the program accepts them. The names of its figures
// begin with name.
func (m *measurement) measureCheck(ctx context.Context, name string) (bool, error) {
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
		m.note("configuration with %d tenants and %d routes rejected: %s",
			m.size.Tenants, m.size.Routes, withoutFolder(result.Output, dir))
	}
	m.addFigure(name+".taken", accepted, "of 1")
	m.addFigure(name+".cpu", result.CPU.Seconds(), "s")
	m.addFigure(name+".wall", result.Wall.Seconds(), "s")
	m.addMemory(name+".peak", result.Peak)
	return result.Accepted, os.RemoveAll(dir)
}

// measureStart starts the process, and measures the CPU time, wall time and memory that it has used when it is ready to serve.
func (m *measurement) measureStart(ctx context.Context) error {
	began := time.Now()
	s, err := StartServe(ctx, m.size, m.plan.Seed, m.plan.ServerDelay.Duration, m.dir, m.command, m.env)
	if err != nil {
		return err
	}
	m.serveProcess = s
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

// measureIdle measures the memory and the CPU time of the process while it gets no requests.
func (m *measurement) measureIdle(ctx context.Context) error {
	if err := m.measureMemory(ctx, "rest.memory"); err != nil {
		return err
	}
	before, err := m.serveProcess.Usage()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := ctxtime.Sleep(ctx, m.plan.IdleDuration.Duration); err != nil {
		return err
	}
	after, err := m.serveProcess.Usage()
	if err != nil {
		return err
	}
	m.idleCPU = (after.CPU - before.CPU).Seconds() / time.Since(began).Seconds()
	m.addFigure("rest.cpu", 100*m.idleCPU, "% of a core")
	return nil
}

// measureMemory waits until the process's memory has settled, and adds it as the figure with this name. If the memory does not
// settle, a note says so.
func (m *measurement) measureMemory(ctx context.Context, name string) error {
	rss, ok, err := AwaitSettledMemory(ctx, m.serveProcess.process.PID(), m.plan.SettleWindow.Duration)
	if err != nil {
		return err
	}
	if !ok {
		m.note("%s: memory had not settled after %v", name, maxSettleWindows*m.plan.SettleWindow.Duration)
	}
	m.addMemory(name, rss)
	return nil
}

// measureLoad measures the process at each rate of the plan with each number of services in use. For each rate it first
// measures the latency of the load generator without the process.
func (m *measurement) measureLoad(ctx context.Context) error {
	for _, rate := range m.plan.Rates {
		direct, err := m.serveProcess.RunDirectLoad(ctx, rate, m.plan.LoadDuration.Duration)
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
			l, err := m.serveProcess.RunLoad(ctx, rate, services, m.plan.LoadDuration.Duration)
			if err != nil {
				return err
			}
			m.addLatency(name, l)
			m.addLoadCost(name, l)
		}
	}
	return m.measureMemory(ctx, "load.memory")
}

// measurePeak adds the maximum of the process's resident memory since its start.
func (m *measurement) measurePeak(context.Context) error {
	u, err := m.serveProcess.Usage()
	if err == nil {
		m.addMemory("end.peak", u.Peak)
	}
	return err
}
