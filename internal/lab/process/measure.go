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
	served  *Served
	rest    float64 // CPU time at rest, as a share of a core
}

// put keeps a figure.
func (m *measurement) put(what string, value float64, unit string) {
	f := Figure{Key: m.size.Name + "." + what, Value: value, Unit: unit}
	m.report.Figures = append(m.report.Figures, f)
	fmt.Fprintf(m.out, "%-52s %12.4g %s\n", f.Key, f.Value, f.Unit)
}

func (m *measurement) putMemory(what string, bytes int64) {
	m.put(what, float64(bytes)/megabyte, "MB")
}

func (m *measurement) note(format string, args ...any) {
	m.report.note(m.size.Name+": "+format, args...)
	fmt.Fprintf(m.out, m.size.Name+": "+format+"\n", args...)
}

func (m *measurement) run(ctx context.Context) error {
	taken, err := m.check(ctx, "check")
	if err != nil {
		return err
	}
	if !taken {
		less, ok := m.plan.Refused(m.size)
		if m.size.OnlyIfTaken || !ok {
			m.note("not measured further: the program does not take it")
			return nil
		}
		m.note("measured on with %d tenants, %d of the plan's", less.Tenants, m.size.Tenants)
		m.size.Tenants = less.Tenants
		if taken, err = m.check(ctx, "check_fewer_tenants"); err != nil || !taken {
			return fmt.Errorf("with %d tenants: taken %v, %w", less.Tenants, taken, err)
		}
	}
	m.report.Sizes = append(m.report.Sizes, m.size)
	if load, err := loadAverage(); err == nil {
		m.note("the machine's load average as it began: %.1f", load)
	}
	steps := []func(context.Context) error{m.start, m.atRest, m.load, m.changeSettings, m.changeRoutes, m.changeLists, m.peak}
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

// check has the program check the files of the size.
func (m *measurement) check(ctx context.Context, what string) (bool, error) {
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
	if v.Taken {
		taken = 1
	} else {
		m.note("check refuses %d tenants, %d routes: %s", m.size.Tenants, m.size.Routes, withoutFolder(v.Text, dir))
	}
	m.put(what+".taken", taken, "of 1")
	m.put(what+".cpu", v.CPU.Seconds(), "s")
	m.put(what+".wall", v.Wall.Seconds(), "s")
	m.putMemory(what+".peak", v.Peak)
	return v.Taken, os.RemoveAll(dir)
}

// start starts the process, and takes what it has used until it serves.
func (m *measurement) start(ctx context.Context) error {
	began := time.Now()
	s, err := Serve(ctx, m.size, m.plan.Seed, m.plan.ServerTime.Duration, m.dir, m.command, m.env)
	if err != nil {
		return err
	}
	m.served = s
	u, err := s.Usage()
	if err != nil {
		return err
	}
	m.put("ready.cpu", u.CPU.Seconds(), "s")
	m.put("ready.wall", time.Since(began).Seconds(), "s")
	m.putMemory("ready.memory", u.RSS)
	m.putMemory("ready.peak", u.Peak)
	return nil
}

// atRest watches the process while nobody asks it anything.
func (m *measurement) atRest(ctx context.Context) error {
	if err := m.memory(ctx, "rest.memory"); err != nil {
		return err
	}
	before, err := m.served.Usage()
	if err != nil {
		return err
	}
	began := time.Now()
	if err := ctxtime.Sleep(ctx, m.plan.Rest.Duration); err != nil {
		return err
	}
	after, err := m.served.Usage()
	if err != nil {
		return err
	}
	m.rest = (after.CPU - before.CPU).Seconds() / time.Since(began).Seconds()
	m.put("rest.cpu", 100*m.rest, "% of a core")
	return nil
}

// memory waits until the process's memory has settled, and takes it.
func (m *measurement) memory(ctx context.Context, what string) error {
	rss, ok, err := Settled(ctx, m.served.process.PID(), m.plan.Settle.Duration)
	if err != nil {
		return err
	}
	if !ok {
		m.note("%s had not settled after %v", what, settleMost*m.plan.Settle.Duration)
	}
	m.putMemory(what, rss)
	return nil
}

// load asks at each rate, over each number of services in use.
func (m *measurement) load(ctx context.Context) error {
	for _, rate := range m.plan.Rates {
		direct, err := m.served.AskDirectly(ctx, rate, m.plan.Load.Duration)
		if err != nil {
			return err
		}
		m.putAdded(fmt.Sprintf("load.%g.direct", rate), direct)
		for _, services := range m.plan.InUse {
			all := services == 0 || services >= m.size.Services
			name := fmt.Sprintf("load.%g.services_%d", rate, services)
			if all {
				services, name = m.size.Services, fmt.Sprintf("load.%g.services_all", rate)
			}
			l, err := m.served.Ask(ctx, rate, services, m.plan.Load.Duration)
			if err != nil {
				return err
			}
			m.putAdded(name, l)
			m.putLoad(name, l)
		}
	}
	return m.memory(ctx, "load.memory")
}

// putAdded keeps the latency that was added to the servers' own.
func (m *measurement) putAdded(name string, l *Load) {
	m.put(name+".added_p50", float64(l.Added.ValueAtQuantile(50))/1000, "ms")
	m.put(name+".added_p99", float64(l.Added.ValueAtQuantile(99))/1000, "ms")
	if l.Void {
		m.note("%s: void, the load generator was late itself by more than %v for one request in a hundred", name, generatorLate)
	}
	if bad := l.Asked - l.Statuses[http.StatusOK]; bad > 0 {
		m.note("%s: %d of %d requests were not served: statuses %v, %v", name, bad, l.Asked, l.Statuses, l.Faults)
	}
}

// putLoad keeps what the load cost the process. Its CPU time at rest is not the requests'.
func (m *measurement) putLoad(name string, l *Load) {
	asked := float64(max(1, l.Asked))
	m.put(name+".asked", float64(l.Asked), "requests")
	m.put(name+".served", float64(l.Statuses[http.StatusOK]), "requests")
	m.put(name+".connections", float64(l.Connections)/asked, "new connections to servers a request")
	m.put(name+".cpu", 100*l.CPU.Seconds()/l.Wall.Seconds(), "% of a core")
	m.put(name+".cpu_per_request", 1e6*(l.CPU.Seconds()-m.rest*l.Wall.Seconds())/asked, "us")
}

// changeSettings changes settings so many times, and takes the memory after some of them.
func (m *measurement) changeSettings(ctx context.Context) error {
	done := 0
	for _, until := range m.plan.Changes {
		if err := m.changes(ctx, "settings", until-done, m.served.ChangeSettings); err != nil {
			return err
		}
		done = until
		if err := m.memory(ctx, fmt.Sprintf("settings.%d.memory", done)); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) changeRoutes(ctx context.Context) error {
	if m.plan.RouteChanges == 0 {
		return nil
	}
	if err := m.changes(ctx, "route", m.plan.RouteChanges, m.served.ChangeRoute); err != nil {
		return err
	}
	return m.memory(ctx, fmt.Sprintf("route.%d.memory", m.plan.RouteChanges))
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
	if err := m.changes(ctx, "list", m.plan.ListChanges, change); err != nil {
		return err
	}
	return m.memory(ctx, fmt.Sprintf("list.%d.memory", m.plan.ListChanges))
}

// peak takes the most memory that the process had, over all that was done to it.
func (m *measurement) peak(context.Context) error {
	u, err := m.served.Usage()
	if err == nil {
		m.putMemory("end.peak", u.Peak)
	}
	return err
}

// changes makes changes one after the other, each when the one before is in force, and takes the CPU time of one.
// What the last one has the process do after it is in force is not counted.
func (m *measurement) changes(ctx context.Context, kind string, count int, change func(context.Context) error) error {
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
	m.put(name+".cpu_per_change", (after.CPU-before.CPU).Seconds()/float64(count), "s")
	m.put(name+".in_force_p50", float64(median(times))/1e6, "s")
	m.put(name+".in_force_most", float64(slices.Max(times))/1e6, "s")
	m.putMemory(name+".peak", after.Peak)
	return nil
}
