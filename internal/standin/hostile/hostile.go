// Package hostile is a stand-in for untrusted clients: many connections that send HTTP bodies
// of legal size at once, most of which stop just short of the end and stay open.
package hostile

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is how clients send their bodies.
type Kind int

// Kinds of clients.
const (
	KnownLength Kind = iota // Content-Length, sent at once
	Piecemeal               // Content-Length, sent in pieces with pauses
	LargeChunks             // chunked, chunks of 32 KiB
	TinyChunks              // chunked, chunks of 4 bytes
	HalfHeader              // an incomplete header and no body
	Silent                  // nothing
)

// Kinds lists the kinds that send bodies, with their names.
var Kinds = map[string]Kind{
	"known length": KnownLength, "piecemeal": Piecemeal, "large chunks": LargeChunks, "tiny chunks": TinyChunks,
}

const (
	pieceBytes      = 16 << 10
	piecePause      = 5 * time.Millisecond
	largeChunkBytes = 32 << 10
	tinyChunkBytes  = 4
	dialTimeout     = 2 * time.Second
	// reopenPause is the pause before a client whose connection was closed opens another.
	reopenPause = 200 * time.Millisecond
	// completeEvery is the share of clients that send the whole body: one in completeEvery.
	completeEvery = 8
)

// Options describe the clients and their requests.
type Options struct {
	Address string // HOST:PORT of the server
	Host    string // Host header; Address if empty
	Path    func(client int) string
	Method  string // POST if empty
	Header  map[string]string
	Body    []byte
	Kind    Kind
	Clients int
}

// Crowd is a number of running clients.
type Crowd struct {
	options Options
	stop    chan struct{}
	wg      sync.WaitGroup
	sent    atomic.Int64 // clients that have sent all they send, or lost a connection
	mu      sync.Mutex
	conns   map[net.Conn]bool
}

// Start starts the clients.
func Start(options Options) *Crowd {
	if options.Host == "" {
		options.Host = options.Address
	}
	c := &Crowd{options: options, stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	for i := range options.Clients {
		c.wg.Go(func() { c.run(i) })
	}
	return c
}

// Sent reports whether every client has sent its part of the body once, or has lost a
// connection.
func (c *Crowd) Sent() bool { return c.sent.Load() == int64(c.options.Clients) }

// Stop closes all connections and waits until the clients have ended.
func (c *Crowd) Stop() {
	c.mu.Lock()
	close(c.stop)
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// run sends requests over new connections until one was answered completely or the crowd
// stops.
func (c *Crowd) run(client int) {
	complete := client%completeEvery == 0
	for first := true; ; first = false {
		answered := c.sendOnce(client, complete, func() {
			if first {
				c.sent.Add(1)
				first = false
			}
		})
		if answered && complete {
			return
		}
		select {
		case <-c.stop:
			return
		case <-time.After(reopenPause):
		}
	}
}

// sendOnce sends one request and holds its connection until the server closes it or the crowd
// stops. It calls sent once the body was sent or the connection failed, and reports whether the
// server answered with other than a refusal.
func (c *Crowd) sendOnce(client int, complete bool, sent func()) bool {
	conn, err := net.DialTimeout("tcp", c.options.Address, dialTimeout)
	if err != nil || !c.add(conn) {
		sent()
		return false
	}
	defer c.remove(conn)
	answer := make(chan int, 1)
	go func() { answer <- readStatus(conn) }()
	_ = c.write(conn, client, complete) // a failure is seen by the reader as well
	sent()
	status := <-answer
	return status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
}

// readStatus returns the status of the answer, or 0 without one. After an answer it waits until the
// server closes the connection, unless the connection is kept open for further requests.
func readStatus(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stop:
		_ = conn.Close()
		return false
	default:
	}
	c.conns[conn] = true
	return true
}

func (c *Crowd) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
	_ = conn.Close()
}

// write sends the header and the body, without its last byte unless complete is set.
func (c *Crowd) write(conn net.Conn, client int, complete bool) error {
	switch c.options.Kind {
	case Silent:
		return nil
	case HalfHeader:
		_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: %s\r\nX: ", c.options.Host)
		return err
	}
	body := c.options.Body
	if !complete {
		body = body[:len(body)-1]
	}
	chunked := c.options.Kind == LargeChunks || c.options.Kind == TinyChunks
	if err := c.writeHeader(conn, client, chunked); err != nil {
		return err
	}
	switch c.options.Kind {
	case Piecemeal:
		return writePieces(conn, body)
	case LargeChunks:
		return writeChunks(conn, body, largeChunkBytes, complete)
	case TinyChunks:
		return writeChunks(conn, body, tinyChunkBytes, complete)
	}
	_, err := conn.Write(body)
	return err
}

func (c *Crowd) writeHeader(conn net.Conn, client int, chunked bool) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", cmp.Or(c.options.Method, http.MethodPost), c.options.Path(client), c.options.Host)
	for key, value := range c.options.Header {
		fmt.Fprintf(&head, "%s: %s\r\n", key, value)
	}
	if chunked {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(c.options.Body))
	}
	_, err := io.WriteString(conn, head.String())
	return err
}

func writePieces(conn net.Conn, body []byte) error {
	for len(body) > 0 {
		n := min(pieceBytes, len(body))
		if _, err := conn.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(piecePause)
	}
	return nil
}

// writeChunks sends the body in chunks, through a buffer so that tiny chunks share packets. Only a
// complete body gets its last, empty chunk.
func writeChunks(conn net.Conn, body []byte, size int, complete bool) error {
	w := bufio.NewWriterSize(conn, 8<<10)
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = w.WriteString(strconv.FormatInt(int64(n), 16) + "\r\n") // bufio keeps an error for Flush
		_, _ = w.Write(body[:n])
		if _, err := w.WriteString("\r\n"); err != nil {
			return err
		}
		body = body[n:]
	}
	if complete {
		_, _ = w.WriteString("0\r\n\r\n")
	}
	return w.Flush()
}

// ProcessUse is what a process has used: its largest resident memory since its start, and its
// open descriptors now.
type ProcessUse struct {
	PeakBytes   int64
	Descriptors int
}

// ReadProcessUse reads the use of a process from /proc.
func ReadProcessUse(pid int) (ProcessUse, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return ProcessUse{}, err
	}
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return ProcessUse{}, err
	}
	use := ProcessUse{Descriptors: len(fds)}
	for line := range bytes.Lines(status) {
		if rest, ok := bytes.CutPrefix(line, []byte("VmHWM:")); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(string(rest)), " kB"), 10, 64)
			if err != nil {
				return ProcessUse{}, err
			}
			use.PeakBytes = kb << 10
		}
	}
	return use, nil
}

// PadJSON returns a JSON text padded with spaces to the size.
func PadJSON(text string, size int) []byte {
	return append([]byte(text), bytes.Repeat([]byte(" "), size-len(text))...)
}
