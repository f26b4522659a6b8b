//! Texts of outcome reasons.

use heatherhollow_types::FailureReason;
use heatherhollow_types::RefusalReason;
use heatherhollow_types::UnknownReason;

// Guards against two reasons of an outcome with the same text, which would share one metric
// counter.
#[test]
fn reason_texts_are_unique() {
    for &reason in RefusalReason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
    }
    for &reason in UnknownReason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
    }
    for &reason in FailureReason::ALL {
        assert_eq!(reason.as_str().parse(), Ok(reason));
    }
}
