package ws

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Limits of the head of an upgrade request.
const (
	maxRequestBytes = 16 << 10
	maxHeadLines    = 128 // the request line and the header fields, with the lines that continue them
)

// Errors for heads over the limits.
var (
	errHeadTooLarge = fmt.Errorf("head over %d bytes", maxRequestBytes)
	errHeadTooLong  = fmt.Errorf("head over %d lines", maxHeadLines)
)

// ReadHead reads the head of a request, to the empty line that ends it, for Upgrade. What follows it is left unread. A head
// that has not come completely takes no more memory than its bytes: it is parsed once it is there.
func ReadHead(in *bufio.Reader) (head []byte, err error) {
	for lines := 0; ; {
		part, err := in.ReadSlice('\n')
		head = append(head, part...)
		switch {
		case len(head) > maxRequestBytes:
			return nil, errHeadTooLarge
		case errors.Is(err, bufio.ErrBufferFull): // the line goes on
			continue
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if lines++; lines > maxHeadLines {
			return nil, errHeadTooLong
		}
		if bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n")) {
			return head, nil
		}
	}
}
