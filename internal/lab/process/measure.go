package process

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"yokestall/internal/lab/ctxtime"
)

const megabyte = 1 << 20

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

// addFigure keeps a figure.
func (m *measurement) addFigure(what string, value float64, unit string) {
	f := Figure{Key: m.size.Name + "." + what, Value: value, Unit: unit}
	m.report.Figures = append(m.report.Figures, f)
	fmt.Fprintf(m.out, "%-52s %12.4g %s\n", f.Key, f.Value, f.Unit)
}

func (m *measurement) addMemory(what string, bytes int64) {
	m.addFigure(what, float64(bytes)/megabyte, "MB")
}

func (m *measurement) note(format string, args ...any) {
	m.report.note(m.size.Name+": "+format, args...)
	fmt.Fprintf(m.out, m.size.Name+": "+format+"\n", args...)
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

// addLatency keeps the latency that was added to the servers' own.
func (m *measurement) addLatency(name string, l *Load) {
	m.addFigure(name+".added_p50", float64(l.AddedLatency.ValueAtQuantile(50))/1000, "ms")
	m.addFigure(name+".added_p99", float64(l.AddedLatency.ValueAtQuantile(99))/1000, "ms")
	if l.Void {
		m.note("%s: void, the load generator was late itself by more than %v for one request in a hundred", name, maxGeneratorDelay)
	}
	if bad := l.Requested - l.Statuses[http.StatusOK]; bad > 0 {
		m.note("%s: %d of %d requests were not served: statuses %v, %v", name, bad, l.Requested, l.Statuses, l.Errors)
	}
}

// addLoadCost keeps what the load cost the process. Its CPU time at rest is not the requests'.
func (m *measurement) addLoadCost(name string, l *Load) {
	asked := float64(max(1, l.Requested))
	m.addFigure(name+".asked", float64(l.Requested), "requests")
	m.addFigure(name+".served", float64(l.Statuses[http.StatusOK]), "requests")
	m.addFigure(name+".connections", float64(l.Connections)/asked, "new connections to servers a request")
	m.addFigure(name+".cpu", 100*l.CPU.Seconds()/l.Wall.Seconds(), "% of a core")
	m.addFigure(name+".cpu_per_request", 1e6*(l.CPU.Seconds()-m.restCPU*l.Wall.Seconds())/asked, "us")
}

// changeSettings changes settings so many times, and takes the memory after some of them.
func (m *measurement) changeSettings(ctx context.Context) error {
	done := 0
	for _, until := range m.plan.SettingsChanges {
		if err := m.measureChanges(ctx, "settings", until-done, m.served.ChangeSettings); err != nil {
			return err
		}
		done = until
		if err := m.measureMemory(ctx, fmt.Sprintf("settings.%d.memory", done)); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) changeRoutes(ctx context.Context) error {
	if m.plan.RouteChanges == 0 {
		return nil
	}
	if err := m.measureChanges(ctx, "route", m.plan.RouteChanges, m.served.ChangeRoute); err != nil {
		return err
	}
	return m.measureMemory(ctx, fmt.Sprintf("route.%d.memory", m.plan.RouteChanges))
}

func (m *measurement) changeLists(ctx context.Context) error {
	if m.plan.ListChanges == 0 {
		return nil
	}
	n := 0
	change := func(ctx context.Context) error {
		n++
		return m.served.ChangeList(ctx, 0, n)
	}
	if err := m.measureChanges(ctx, "list", m.plan.ListChanges, change); err != nil {
		return err
	}
	return m.measureMemory(ctx, fmt.Sprintf("list.%d.memory", m.plan.ListChanges))
}

// measurePeak takes the most memory that the process had, over all that was done to it.
func (m *measurement) measurePeak(context.Context) error {
	u, err := m.served.Usage()
	if err == nil {
		m.addMemory("end.peak", u.Peak)
	}
	return err
}

// measureChanges makes changes one after the other, each when the one before is in force, and takes the CPU time of one.
// What the last one has the process do after it is in force is not counted.
func (m *measurement) measureChanges(ctx context.Context, kind string, count int, change func(context.Context) error) error {
	before, err := m.served.Usage()
	if err != nil {
		return err
	}
	var times []int64 // until each was in force
	for range count {
		began := time.Now()
		if err := change(ctx); err != nil {
			return fmt.Errorf("%s: %w", kind, err)
		}
		times = append(times, time.Since(began).Microseconds())
	}
	after, err := m.served.Usage()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s.of_%d", kind, count)
	m.addFigure(name+".cpu_per_change", (after.CPU-before.CPU).Seconds()/float64(count), "s")
	m.addFigure(name+".in_force_p50", float64(median(times))/1e6, "s")
	m.addFigure(name+".in_force_most", float64(slices.Max(times))/1e6, "s")
	m.addMemory(name+".peak", after.Peak)
	return nil
}
