package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
)

// microsecondsPerTick is the length in microseconds of a clock tick, the unit of CPU time in /proc/PID/stat (proc(5)).
const microsecondsPerTick = 1e4

// process is a child process of Bench that runs a processor.
type process struct {
	command *exec.Cmd
	stdin   io.Closer // closing stdin ends the process
	conn    *grpc.ClientConn
}

// startProcess starts this executable as a child process that runs the given kind of processor, and connects to it.
func startProcess(kind string) (*process, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{command: exec.Command(executable, "side", kind)}
	p.command.Stderr = os.Stderr
	if p.stdin, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	addr, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("%s processor printed no address: %w", kind, err)
	}
	p.conn, err = grpc.NewClient(strings.TrimSpace(addr), grpc.WithTransportCredentials(insecure.NewCredentials()))
	return p, err
}

// stop ends the process and waits until it has exited.
func (p *process) stop() {
	p.conn.Close()
	p.stdin.Close()
	p.command.Wait()
}

// checkHealth calls the gRPC health service of the process, which answers whatever the state of the streams.
func (p *process) checkHealth(ctx context.Context) error {
	_, err := healthpb.NewHealthClient(p.conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

// cpuTicks returns the CPU time that the process has used, in user and system mode, in clock ticks (microsecondsPerTick).
func (p *process) cpuTicks() (float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	afterName := string(stat[strings.LastIndexByte(string(stat), ')')+1:])
	fields := strings.Fields(afterName)
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return user + system, err
}

// memoryKB returns the resident memory of the process in KB.
func (p *process) memoryKB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	return strconv.Atoi(strings.Fields(rest)[0])
}
