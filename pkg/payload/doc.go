// Package payload reads content whose length the sender has announced.
package payload
