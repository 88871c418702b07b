package voter

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"google.golang.org/grpc"
)

// processEnv is the environment variable that holds the settings of a voter that
// runs in a separate process, as JSON.
const processEnv = "BILBERRYROCK_VOTER_TEST"

type processSettings struct {
	Self   int
	Folder string
	Peers  []Peer
}

func TestMain(m *testing.M) {
	if text := os.Getenv(processEnv); text != "" {
		runProcess(text)
		return
	}
	os.Exit(m.Run())
}

// runProcess serves one voter. It answers each line of standard input with its
// status, and stops gracefully when standard input ends.
func runProcess(text string) {
	var s processSettings
	check(json.Unmarshal([]byte(text), &s))
	own := s.Peers[s.Self]
	v, err := New(Instance(own.Instance, own.Address), Folder(s.Folder), InitialVoters(s.Peers...),
		Group(quorum.ConfigGroup, &recordingMachine{}), TickInterval(10*time.Millisecond), SnapshotEntries(50, 10))
	check(err)
	l, err := net.Listen("tcp", own.Address)
	check(err)
	server := grpc.NewServer(ServerOptions()...)
	v.Register(server)
	go func() { check(server.Serve(l)) }()
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		check(json.NewEncoder(os.Stdout).Encode(v.Status(context.Background())))
	}
	check(v.Stop(context.Background()))
	server.Stop()
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// processCluster is a testCluster whose voters run in separate processes.
type processCluster struct {
	*testCluster
	commands  []*exec.Cmd
	requests  []*json.Encoder
	responses []*json.Decoder
	proposed  int
}

func (tc *processCluster) launch(i int) {
	text, err := json.Marshal(processSettings{Self: i, Folder: tc.folder(i), Peers: tc.peers})
	tc.is.NoErr(err)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), processEnv+"="+string(text))
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	tc.is.NoErr(err)
	out, err := c.StdoutPipe()
	tc.is.NoErr(err)
	tc.is.NoErr(c.Start())
	tc.commands[i], tc.requests[i], tc.responses[i] = c, json.NewEncoder(in), json.NewDecoder(out)
}

func (tc *processCluster) signalAndWait(i int, sig os.Signal) {
	tc.is.NoErr(tc.commands[i].Process.Signal(sig))
	_ = tc.commands[i].Wait()
}

func (tc *processCluster) proposeSome(c *Client) {
	for range 20 {
		tc.proposed++
		tc.propose(c, fmt.Sprint("command ", tc.proposed))
	}
}

// TestProcesses guards against faults that don't show while all voters share one
// process: three voters in separate processes keep every acknowledged command while
// each of them is killed, frozen and thawed, and started with an empty data folder.
func TestProcesses(t *testing.T) {
	tc := &processCluster{
		testCluster: newTestCluster(t, 3), commands: make([]*exec.Cmd, 3),
		requests: make([]*json.Encoder, 3), responses: make([]*json.Decoder, 3),
	}
	for i := range 3 {
		tc.is.NoErr(tc.instances[i].listener.Close()) // Its address is known now.
		tc.launch(i)
	}
	t.Cleanup(func() {
		if t.Failed() {
			tc.dump(t)
		}
		for _, c := range tc.commands {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
	c, err := NewClient(Instance("client", ""), InitialVoters(tc.peers...))
	tc.is.NoErr(err)
	defer c.Close()
	tc.proposeSome(c)
	for i := range 3 {
		tc.signalAndWait(i, syscall.SIGKILL)
		tc.proposeSome(c)
		tc.launch(i)
		tc.proposeSome(c)

		tc.is.NoErr(tc.commands[i].Process.Signal(syscall.SIGSTOP))
		tc.proposeSome(c)
		tc.is.NoErr(tc.commands[i].Process.Signal(syscall.SIGCONT))
		tc.proposeSome(c)

		tc.signalAndWait(i, syscall.SIGKILL)
		tc.is.NoErr(os.RemoveAll(tc.folder(i)))
		tc.launch(i)
		tc.proposeSome(c)
		tc.awaitMember(i)
	}
	reply, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
	tc.is.NoErr(err)
	tc.is.Equal(string(reply), fmt.Sprint(tc.proposed))
}

// dump logs the status of each voter.
func (tc *processCluster) dump(t *testing.T) {
	for i := range tc.commands {
		var groups []GroupStatus
		err := tc.requests[i].Encode("status")
		if err == nil {
			err = tc.responses[i].Decode(&groups)
		}
		t.Logf("voter %d: %+v %v", i+1, groups, err)
	}
}

// awaitMember waits until instance i is a voter again after its data folder was
// lost, and the group has three members, so that the lost voter was removed.
func (tc *processCluster) awaitMember(i int) {
	for {
		tc.is.NoErr(tc.requests[i].Encode("status"))
		var groups []GroupStatus
		tc.is.NoErr(tc.responses[i].Decode(&groups))
		if len(groups) == 1 && len(groups[0].Members) == 3 && isVoter(groups[0]) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func isVoter(g GroupStatus) bool {
	return slices.ContainsFunc(g.Members, func(m MemberStatus) bool { return m.ID == g.Voter && !m.Learner })
}
