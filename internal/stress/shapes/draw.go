package shapes

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// bounds are the sizes in bytes, of bodies and of parts of them, at which servers commonly change their ways: of buffers, of
// read-ahead and of what kernels hold.
var bounds = []int{900, 4 << 10, 16 << 10, 64 << 10, 128 << 10, 256 << 10, 1 << 20, 1<<20 + 64<<10}

// kernelBytes are amounts that the kernels of both sides may hold of a body that is not read, in bytes.
var kernelBytes = []int{0, 0, 0, 200 << 10, 1500 << 10, 1750 << 10, 1850 << 10, 4 << 20}

// Size draws a size near one of the bounds, or near what a bound and the kernels hold together.
func Size(random *rand.Rand) int {
	size := bounds[random.IntN(len(bounds))] + kernelBytes[random.IntN(len(kernelBytes))]
	return max(1, size+random.IntN(16<<10)-8<<10)
}

// between draws a time between two others.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// drawPause draws a pause at any place.
func drawPause(random *rand.Rand, least, most time.Duration) Pause {
	places := []Place{InHead, Beginning, Middle, End}
	return Pause{places[random.IntN(len(places))], between(random, least, most)}
}

// Class is a class of requests of the server under test.
type Class struct {
	Name   string
	Method string
	Keyed  bool
}

// drawRequest draws a request without its body.
func drawRequest(random *rand.Rand, classes []Class, timeout time.Duration) Shape {
	s := Plain(classes[random.IntN(len(classes))])
	s.Timeout = timeout
	return s
}

// PausingAnswer draws an exchange whose answer pauses or is written slowly, and comes whole in time.
func PausingAnswer(random *rand.Rand, classes []Class) Shape {
	const timeout, longest = 1400 * time.Millisecond, 950 * time.Millisecond
	s := drawRequest(random, classes, timeout)
	framings := []Framing{Length, Chunked, CloseDelimited}
	s.Answer = Message{Framing: framings[random.IntN(len(framings))], Size: min(Size(random), 200<<10)}
	s.Answer.Pause = drawPause(random, 200*time.Millisecond, longest)
	if random.IntN(4) == 0 {
		s.Answer.Pause, s.Answer.WriteFor = Pause{}, between(random, 200*time.Millisecond, longest)
	}
	return s
}

// LateAnswer draws an exchange whose answer is written in lumps, soundly, and may end after the client's time.
func LateAnswer(random *rand.Rand, classes []Class) Shape {
	s := drawRequest(random, classes, between(random, 500*time.Millisecond, 1400*time.Millisecond))
	framings := []Framing{Length, Chunked, CloseDelimited}
	s.Answer = Message{
		Framing: framings[random.IntN(len(framings))], Size: 20<<10 + random.IntN(220<<10),
		Lumps: 2 + random.IntN(4), LumpGap: between(random, 200*time.Millisecond, 900*time.Millisecond),
	}
	return s
}

// SlowReader draws a request of up to 16 MB that the client writes at once and the endpoint reads at a drawn rate.
func SlowReader(random *rand.Rand, classes []Class) Shape {
	const least, most = 10 << 10, 16 << 20
	s := drawRequest(random, classes, between(random, 600*time.Millisecond, 1400*time.Millisecond))
	s.Request = Message{Framing: drawUploadFraming(random), Size: least + random.IntN(most-least)}
	s.ReadRate = 64 << 10 << random.IntN(8)
	s.Client = Client{ReadsWhileWriting: random.IntN(2) == 0, SmallBuffer: random.IntN(2) == 0}
	return s
}

// drawUploadFraming draws the framing of a request's body.
func drawUploadFraming(random *rand.Rand) Framing {
	if random.IntN(2) == 0 {
		return Chunked
	}
	return Length
}

// StuckUpload draws a request with a large body that its endpoint stops reading.
func StuckUpload(random *rand.Rand, classes []Class) Shape {
	s := drawRequest(random, classes, between(random, 500*time.Millisecond, 900*time.Millisecond))
	s.Request = Message{Framing: drawUploadFraming(random), Size: max(1<<20, Size(random))}
	s.StopReading = 8<<10 + random.IntN(24<<10)
	return s
}

// SlowUpload draws a request whose body is written slowly or with a pause, and whose endpoint reads all of it.
func SlowUpload(random *rand.Rand, classes []Class) Shape {
	s := drawRequest(random, classes, between(random, 700*time.Millisecond, 1500*time.Millisecond))
	s.Request = Message{Framing: drawUploadFraming(random), Size: min(Size(random), 1500<<10)}
	if random.IntN(2) == 0 {
		s.Request.WriteFor = between(random, 500*time.Millisecond, 2*time.Second)
	} else {
		s.Request.Pause = drawPause(random, 100*time.Millisecond, 1500*time.Millisecond)
	}
	return s
}

// EarlyAnswer draws a request whose endpoint answers before it has read the whole body, which the client goes on to write.
func EarlyAnswer(random *rand.Rand, classes []Class) Shape {
	s := SlowUpload(random, classes)
	s.Request.Size = max(s.Request.Size, 40<<10)
	s.AnswerAfter = 1 + random.IntN(s.Request.Size/2)
	return s
}

// LargeSize draws the size of a body of 30 KB to 1.5 MB.
func LargeSize(random *rand.Rand) int { return 30<<10 + random.IntN(1470<<10) }

// LongUpload draws an upload that is written for a second or more, and that its endpoint or the server under test may answer
// meanwhile.
func LongUpload(random *rand.Rand, classes []Class) Shape {
	s := SlowUpload(random, classes)
	if random.IntN(3) == 0 {
		s = EarlyAnswer(random, classes)
	}
	if random.IntN(4) > 0 {
		s.Request.Size = max(s.Request.Size, LargeSize(random))
	}
	s.Request.Pause, s.Request.WriteFor = Pause{}, between(random, time.Second, 3*time.Second)
	return s
}

// PatientUpload draws a large upload whose client waits long for the answer.
func PatientUpload(random *rand.Rand, classes []Class) Shape {
	s := drawRequest(random, classes, 5*time.Second)
	s.Request = Message{Framing: drawUploadFraming(random), Size: LargeSize(random), WriteFor: 1700 * time.Millisecond}
	return s
}

// StuckUploadsBySize returns uploads of a class that their endpoint stops reading, with sizes from first to last in steps.
func StuckUploadsBySize(c Class, first, last, step int) (list []Shape) {
	for size := first; size < last; size += step {
		framing := Length
		if len(list)%2 == 1 {
			framing = Chunked
		}
		list = append(list, Shape{
			Class: c.Name, Method: c.Method, Keyed: c.Keyed, Timeout: 700 * time.Millisecond, StopReading: 20_000,
			Request: Message{Framing: framing, Size: size},
		})
	}
	return list
}

// Plain returns a short exchange of a class.
func Plain(c Class) Shape {
	return Shape{
		Class: c.Name, Method: c.Method, Keyed: c.Keyed, Timeout: 5 * time.Second,
		Request: Message{Framing: Length}, Answer: Message{Framing: Length, Size: 2},
	}
}

// Any draws an exchange of any of the kinds above, or a plain one. uploads are the classes whose requests may have a body.
func Any(random *rand.Rand, classes, uploads []Class) Shape {
	switch random.IntN(8) {
	case 0:
		return StuckUpload(random, uploads)
	case 1:
		return SlowUpload(random, uploads)
	case 2:
		return EarlyAnswer(random, uploads)
	case 3:
		s := SlowUpload(random, uploads)
		s.Answer = PausingAnswer(random, uploads).Answer
		s.Timeout = 1400 * time.Millisecond
		return s
	case 4:
		return drawRequest(random, classes, time.Second)
	case 5:
		return LateAnswer(random, classes)
	case 6:
		return SlowReader(random, uploads)
	}
	return PausingAnswer(random, classes)
}

// Classes of servers in tests. Reads are GET requests that may be repeated, Uploads have bodies.
var (
	Reads   = []Class{{"read", http.MethodGet, false}}
	Uploads = []Class{{"pay", http.MethodPost, false}, {"push", http.MethodPost, true}}
)

// AllClasses returns the classes of Reads and Uploads.
func AllClasses() []Class { return append(append([]Class(nil), Reads...), Uploads...) }
