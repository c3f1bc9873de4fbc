package process

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// changeSettings changes settings until each count of the plan, and measures the memory at each.
func (m *measurement) changeSettings(ctx context.Context) error {
	done := 0
	for _, total := range m.plan.SettingsChanges {
		if err := m.measureChanges(ctx, "settings", total-done, m.served.ChangeSettings); err != nil {
			return err
		}
		done = total
		if err := m.measureMemory(ctx, fmt.Sprintf("settings.%d.memory", done)); err != nil {
			return err
		}
	}
	return nil
}

// changeRoutes changes the answer of one route, and measures the memory after all changes.
func (m *measurement) changeRoutes(ctx context.Context) error {
	if m.plan.RouteChanges == 0 {
		return nil
	}
	if err := m.measureChanges(ctx, "route", m.plan.RouteChanges, m.served.ChangeRoute); err != nil {
		return err
	}
	return m.measureMemory(ctx, fmt.Sprintf("route.%d.memory", m.plan.RouteChanges))
}

// changeLists changes the list of one cluster, and measures the memory after all changes.
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

// changeFunc makes a change and returns once it is in force.
type changeFunc func(context.Context) error

// measureChanges makes changes one after the other, and measures the CPU time of one and the times until each is in
// force. What the last change costs the process afterwards is not counted.
func (m *measurement) measureChanges(ctx context.Context, kind string, count int, change changeFunc) error {
	before, err := m.served.Usage()
	if err != nil {
		return err
	}
	var times []int64 // microseconds until each change was in force
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
