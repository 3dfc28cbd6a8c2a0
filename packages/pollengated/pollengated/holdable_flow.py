"""Flow control of an HTTP connection that may hold received bytes back."""

from uvicorn.protocols.http.flow_control import FlowControl

__all__ = ["HoldableFlow"]


class HoldableFlow(FlowControl):
    """Flow control that resumes reading only while the protocol wants more bytes.

    Attributes:
        is_held: whether received bytes wait to be parsed.
    """

    is_held = False

    def resume_reading(self) -> None:
        """Resumes reading unless received bytes wait."""
        if not self.is_held:
            super().resume_reading()
