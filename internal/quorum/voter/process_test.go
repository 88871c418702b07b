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

// processEnv holds the settings of a voter that runs in a process of its own.
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
	v, err := New(Instance(own.Instance, own.Address), Folder(s.Folder), Initial(s.Peers...),
		Group(quorum.ConfigGroup, &register{}), Tick(10*time.Millisecond), SnapshotEntries(50, 10))
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

type processes struct {
	*site
	commands []*exec.Cmd
	ask      []*json.Encoder
	answer   []*json.Decoder
	count    int
}

func (s *processes) launch(i int) {
	text, err := json.Marshal(processSettings{Self: i, Folder: s.folder(i), Peers: s.peers})
	s.is.NoErr(err)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), processEnv+"="+string(text))
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	s.is.NoErr(err)
	out, err := c.StdoutPipe()
	s.is.NoErr(err)
	s.is.NoErr(c.Start())
	s.commands[i], s.ask[i], s.answer[i] = c, json.NewEncoder(in), json.NewDecoder(out)
}

func (s *processes) end(i int, sig os.Signal) {
	s.is.NoErr(s.commands[i].Process.Signal(sig))
	_ = s.commands[i].Wait()
}

func (s *processes) proposeSome(c *Client) {
	for range 20 {
		s.count++
		s.propose(c, fmt.Sprint("command ", s.count))
	}
}

// TestProcesses guards against what a single process hides: three voters in
// processes of their own keep every answered command while each of them is
// killed, frozen and thawed, and started with an empty data folder.
func TestProcesses(t *testing.T) {
	s := &processes{
		site: newSite(t, 3), commands: make([]*exec.Cmd, 3),
		ask: make([]*json.Encoder, 3), answer: make([]*json.Decoder, 3),
	}
	for i := range 3 {
		s.is.NoErr(s.nodes[i].listener.Close()) // Its address is known now.
		s.launch(i)
	}
	t.Cleanup(func() {
		if t.Failed() {
			s.dump(t)
		}
		for _, c := range s.commands {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
	c, err := NewClient(Instance("client", ""), Initial(s.peers...))
	s.is.NoErr(err)
	defer c.Close()
	s.proposeSome(c)
	for i := range 3 {
		s.end(i, syscall.SIGKILL)
		s.proposeSome(c)
		s.launch(i)
		s.proposeSome(c)

		s.is.NoErr(s.commands[i].Process.Signal(syscall.SIGSTOP))
		s.proposeSome(c)
		s.is.NoErr(s.commands[i].Process.Signal(syscall.SIGCONT))
		s.proposeSome(c)

		s.end(i, syscall.SIGKILL)
		s.is.NoErr(os.RemoveAll(s.folder(i)))
		s.launch(i)
		s.proposeSome(c)
		s.awaitMember(i)
	}
	reply, err := c.Read(context.Background(), quorum.ConfigGroup, nil)
	s.is.NoErr(err)
	s.is.Equal(string(reply), fmt.Sprint(s.count))
}

// dump logs what each voter knows.
func (s *processes) dump(t *testing.T) {
	for i := range s.commands {
		var groups []GroupStatus
		err := s.ask[i].Encode("status")
		if err == nil {
			err = s.answer[i].Decode(&groups)
		}
		t.Logf("voter %d: %+v %v", i+1, groups, err)
	}
}

// awaitMember waits until the successor of a lost folder is the only member of
// its instance, and a voter.
func (s *processes) awaitMember(i int) {
	for {
		s.is.NoErr(s.ask[i].Encode("status"))
		var groups []GroupStatus
		s.is.NoErr(s.answer[i].Decode(&groups))
		if len(groups) == 1 && len(groups[0].Members) == 3 && isVoter(groups[0]) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func isVoter(g GroupStatus) bool {
	return slices.ContainsFunc(g.Members, func(m MemberStatus) bool { return m.ID == g.Voter && !m.Learner })
}
